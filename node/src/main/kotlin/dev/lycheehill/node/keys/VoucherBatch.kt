package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.VoucherRequest
import kotlinx.serialization.Serializable

/** Voucher requests from one node to another, one for each key domain of which both nodes are members. */
@Serializable
internal class VoucherBatch(
    val requests: List<VoucherRequest>,
)
