package dev.lycheehill.config.log

import java.nio.ByteBuffer
import java.util.HexFormat

/** Hash over all records of a stream up to one offset. Equal hashes mean equal records. */
object ChainHash {
    /** Hash before the first record. */
    val EMPTY: String = "0".repeat(Sha256.HEX_DIGITS)

    /** Returns `sha256(previous, offset, payload)` in hex digits. */
    fun next(
        previous: String,
        entry: LogEntry,
    ): String =
        Sha256.hex(
            HexFormat.of().parseHex(previous),
            ByteBuffer.allocate(Long.SIZE_BYTES).putLong(entry.offset).array(),
            entry.payload,
        )
}
