package dev.lycheehill.fleet.dissemination

import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotCodec
import dev.lycheehill.config.snapshot.SnapshotLimits
import dev.lycheehill.config.snapshot.SnapshotPart
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage

/** Sends snapshots to peers part by part, and collects the parts of the snapshot that this node fetches. */
internal class SnapshotTransfer(
    private val current: () -> Snapshot,
    private val outbox: Outbox,
) {
    private var served: EncodedSnapshot? = null
    private var incoming: IncomingSnapshot? = null

    /**
     * Sends part [part] of the snapshot at [nextOffset], or the first part of the current snapshot when that one is not available.
     *
     * Returns whether the transfer is complete.
     */
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

    /** Returns the snapshot if [message] completes it; otherwise requests the next part and returns null. An unexpected part is ignored. */
    fun onPart(
        from: PeerAddress,
        message: PeerMessage.SnapshotPart,
    ): Snapshot? {
        if (message.part == 0) incoming = IncomingSnapshot(from, message.nextOffset)
        val currentSnapshot = incoming?.takeIf { it.from == from && it.nextOffset == message.nextOffset } ?: return null
        val decoded = SnapshotCodec.decodePart(message.bytes)
        if (message.part != currentSnapshot.parts.size || message.parts > SnapshotLimits.MAX_PARTS || decoded == null) return null
        currentSnapshot.parts += decoded
        if (currentSnapshot.parts.size < message.parts) {
            outbox.send(from, PeerMessage.SnapshotRequest(message.nextOffset, currentSnapshot.parts.size))
            return null
        }
        incoming = null
        return SnapshotCodec.join(currentSnapshot.parts).getOrNull()
    }

    // Many peers request the same snapshot after a mass restart, so the last encoded snapshot is kept while it is current.
    private fun encode(): EncodedSnapshot {
        val snapshot = current()
        served?.takeIf { it.nextOffset == snapshot.state.nextOffset }?.let { return it }
        val parts = SnapshotCodec.encode(snapshot).getOrNull().orEmpty()
        return EncodedSnapshot(snapshot.state.nextOffset, parts).also { served = it }
    }

    private class EncodedSnapshot(
        val nextOffset: Long,
        val parts: List<ByteArray>,
    )

    private class IncomingSnapshot(
        val from: PeerAddress,
        val nextOffset: Long,
        val parts: MutableList<SnapshotPart> = mutableListOf(),
    )
}
