package dev.lycheehill.config.log

/** Result of decoding one payload of stream `config`. */
sealed interface DecodedRecord {
    /** A valid record, in the format that this release knows. */
    data class Known(
        val record: ConfigRecord,
    ) : DecodedRecord

    /** A record of a format that this release does not know. */
    data class UnknownFormat(
        val format: Int,
    ) : DecodedRecord

    /** Bytes that are not a valid record, for the given [reason]. */
    data class Malformed(
        val reason: String,
    ) : DecodedRecord
}
