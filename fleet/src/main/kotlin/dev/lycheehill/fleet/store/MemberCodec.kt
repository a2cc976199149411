package dev.lycheehill.fleet.store

import arrow.core.Either
import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** CBOR encoding of member records at the store. */
@OptIn(ExperimentalSerializationApi::class)
internal object MemberCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(record: MemberRecord): ByteArray = cbor.encodeToByteArray(MemberRecord.serializer(), record)

    fun decode(bytes: ByteArray): Either<String, MemberRecord> =
        Either.catch { cbor.decodeFromByteArray(MemberRecord.serializer(), bytes) }.mapLeft { "not a member record: ${it.message}" }
}
