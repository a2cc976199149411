package dev.lycheehill.config.log

/** Result of decoding one payload of stream `config`. */
sealed interface DecodedRecord {
    /** A record of the format of this release. */
    data class Known(
        val record: ConfigRecord,
    ) : DecodedRecord

    /** A record of a format that this release does not know. */
    data class UnknownFormat(
        val format: Int,
    ) : DecodedRecord

    /** Bytes that are no record of any format. */
    data class Malformed(
        val reason: String,
    ) : DecodedRecord
}
