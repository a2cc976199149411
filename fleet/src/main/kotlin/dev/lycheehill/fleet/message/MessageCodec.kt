package dev.lycheehill.fleet.message

import arrow.core.Either
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** CBOR encoding of [PeerMessage]. */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
            useDefiniteLengthEncoding = true
        }

    /** Encodes [message]. */
    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Decodes [bytes], or returns the reason why they do not encode a message. */
    fun decode(bytes: ByteArray): Either<String, PeerMessage> =
        Either.catch { cbor.decodeFromByteArray(PeerMessage.serializer(), bytes) }.mapLeft { it.message.orEmpty() }
}
