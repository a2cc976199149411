package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.VoucherRequest
import kotlinx.serialization.Serializable

/** Voucher requests of one node to another, one for each domain that both are members of. */
@Serializable
internal class VoucherBatch(
    val requests: List<VoucherRequest>,
)
