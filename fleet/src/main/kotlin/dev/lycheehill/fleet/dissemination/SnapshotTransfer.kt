package dev.lycheehill.fleet.dissemination

import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotCodec
import dev.lycheehill.config.snapshot.SnapshotLimits
import dev.lycheehill.config.snapshot.SnapshotPart
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage

/** Serves snapshots to peers part by part, and collects the parts of the snapshot that this node takes. */
internal class SnapshotTransfer(
    private val current: () -> Snapshot,
    private val outbox: Outbox,
) {
    private var served: Served? = null
    private var incoming: Incoming? = null

    /** Sends part [part] of the snapshot at [nextOffset] and returns whether it was the last one. */
    fun serve(
        to: PeerAddress,
        nextOffset: Long,
        part: Int,
    ): Boolean {
        val snapshot = served?.takeIf { it.nextOffset == nextOffset && part > 0 } ?: encode()
        val index = if (snapshot.nextOffset == nextOffset) part else 0
        val bytes = snapshot.parts.getOrNull(index) ?: return true
        outbox.send(to, PeerMessage.SnapshotPart(snapshot.nextOffset, index, snapshot.parts.size, bytes))
        return index == snapshot.parts.lastIndex
    }

    /** Takes a part. Returns the snapshot when it was the last one; asks for the next part otherwise. */
    fun onPart(
        from: PeerAddress,
        message: PeerMessage.SnapshotPart,
    ): Snapshot? {
        if (message.part == 0) incoming = Incoming(from, message.nextOffset)
        val running = incoming?.takeIf { it.from == from && it.nextOffset == message.nextOffset } ?: return null
        val decoded = SnapshotCodec.decodePart(message.bytes)
        if (message.part != running.parts.size || message.parts > SnapshotLimits.MAX_PARTS || decoded == null) return null
        running.parts += decoded
        if (running.parts.size < message.parts) {
            outbox.send(from, PeerMessage.SnapshotRequest(message.nextOffset, running.parts.size))
            return null
        }
        incoming = null
        return SnapshotCodec.join(running.parts).getOrNull()
    }

    // A node serves many peers the same snapshot after a mass restart, so the last encoding is kept while it is current.
    private fun encode(): Served {
        val snapshot = current()
        served?.takeIf { it.nextOffset == snapshot.state.nextOffset }?.let { return it }
        val parts = SnapshotCodec.encode(snapshot).getOrNull().orEmpty()
        return Served(snapshot.state.nextOffset, parts).also { served = it }
    }

    private class Served(
        val nextOffset: Long,
        val parts: List<ByteArray>,
    )

    private class Incoming(
        val from: PeerAddress,
        val nextOffset: Long,
        val parts: MutableList<SnapshotPart> = mutableListOf(),
    )
}
