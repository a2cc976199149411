package dev.lycheehill.fleet

import arrow.core.Either
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.dissemination.SnapshotCodec

object StubSnapshotCodec : SnapshotCodec {
    private val states = ArrayList<FoldState>()

    override fun encode(state: FoldState): List<ByteArray> = listOf(states.size.toString().toByteArray()).also { states += state }

    override fun decode(parts: List<ByteArray>): Either<String, FoldState> = Either.Right(states[parts.single().decodeToString().toInt()])
}
