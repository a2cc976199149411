package dev.lycheehill.cli.demo

import arrow.core.Either
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.fleet.dissemination.SnapshotCodec
import dev.lycheehill.config.snapshot.SnapshotCodec as RecordCodec

/** Encodes fold states without home epochs. */
object DemoSnapshotCodec : SnapshotCodec {
    override fun encode(state: FoldState): List<ByteArray> =
        RecordCodec.encode(Snapshot(state, ByteArray(0), 0)).fold({ error("snapshot: $it") }, { it })

    override fun decode(parts: List<ByteArray>): Either<String, FoldState> =
        RecordCodec.join(parts.mapNotNull(RecordCodec::decodePart)).map { it.state }.mapLeft { it.name }
}
