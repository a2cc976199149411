package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.VoucherReply
import kotlinx.serialization.Serializable

/** Answer to a [VoucherBatch]. */
@Serializable
internal class VoucherReplies(
    val replies: List<VoucherReply>,
)
