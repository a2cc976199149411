package dev.lycheehill.fleet.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Form of a member record at the store: CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal object MemberCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(record: MemberRecord): ByteArray = cbor.encodeToByteArray(MemberRecord.serializer(), record)

    fun decode(bytes: ByteArray): Either<String, MemberRecord> =
        try {
            cbor.decodeFromByteArray(MemberRecord.serializer(), bytes).right()
        } catch (e: SerializationException) {
            "not a member record: ${e.message}".left()
        } catch (e: IllegalArgumentException) {
            "not a member record: ${e.message}".left()
        } catch (e: IllegalStateException) {
            "member record ends early: ${e.message}".left()
        }
}
