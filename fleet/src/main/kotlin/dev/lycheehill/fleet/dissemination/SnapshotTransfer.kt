package dev.lycheehill.fleet.dissemination

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage

/** Serves snapshots to peers part by part, and collects the parts of the snapshot that this node takes. */
internal class SnapshotTransfer(
    private val codec: SnapshotCodec,
    private val outbox: Outbox,
) {
    private var served: Served? = null
    private var incoming: Incoming? = null

    /** Sends part [part] of the snapshot at [nextOffset] and returns whether it was the last one. */
    fun serve(
        to: PeerAddress,
        state: FoldState,
        nextOffset: Long,
        part: Int,
    ): Boolean {
        val snapshot = served?.takeIf { it.nextOffset == nextOffset && part > 0 } ?: encode(state)
        val index = if (snapshot.nextOffset == nextOffset) part else 0
        val bytes = snapshot.parts.getOrNull(index) ?: return true
        outbox.send(to, PeerMessage.SnapshotPart(snapshot.nextOffset, index, snapshot.parts.size, bytes))
        return index == snapshot.parts.lastIndex
    }

    /** Takes a part. Returns the decoded state when it was the last one; asks for the next part otherwise. */
    fun onPart(
        from: PeerAddress,
        message: PeerMessage.SnapshotPart,
    ): FoldState? {
        if (message.parts !in 1..MAX_PARTS || message.part !in 0 until message.parts) return null
        if (message.part == 0) incoming = Incoming(from, message.nextOffset)
        val current = incoming?.takeIf { it.from == from && it.nextOffset == message.nextOffset } ?: return null
        if (message.part != current.parts.size) return null
        current.parts += message.bytes
        if (current.parts.size < message.parts) {
            outbox.send(from, PeerMessage.SnapshotRequest(message.nextOffset, current.parts.size))
            return null
        }
        incoming = null
        return codec.decode(current.parts).getOrNull()
    }

    // A node serves many peers the same snapshot after a mass restart, so the last encoding is kept while it is current.
    private fun encode(state: FoldState): Served {
        served?.takeIf { it.nextOffset == state.nextOffset }?.let { return it }
        return Served(state.nextOffset, codec.encode(state)).also { served = it }
    }

    private class Served(
        val nextOffset: Long,
        val parts: List<ByteArray>,
    )

    private class Incoming(
        val from: PeerAddress,
        val nextOffset: Long,
        val parts: MutableList<ByteArray> = mutableListOf(),
    )

    private companion object {
        const val MAX_PARTS = 1_024
    }
}
