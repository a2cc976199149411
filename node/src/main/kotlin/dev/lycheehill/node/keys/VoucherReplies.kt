package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.VoucherReply
import kotlinx.serialization.Serializable

/** Replies to the requests of a [VoucherBatch], in the same order. */
@Serializable
internal class VoucherReplies(
    val replies: List<VoucherReply>,
)
