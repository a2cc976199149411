package dev.lycheehill.fleet.dissemination

import arrow.core.Either
import dev.lycheehill.config.fold.FoldState

/** Encodes fold states, with the state folded from other streams, for transfer and for stream `snapshots`. */
interface SnapshotCodec {
    /** Encodes [state] in parts of at most 128 KiB. Equal states have equal parts. */
    fun encode(state: FoldState): List<ByteArray>

    /** Decodes all parts of one snapshot in any order, or returns the reason why they are not one. */
    fun decode(parts: List<ByteArray>): Either<String, FoldState>
}
