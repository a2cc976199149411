package dev.lycheehill.config.log

import java.nio.ByteBuffer
import java.util.HexFormat

/** Hash chain over the records of a stream: equal hashes at one offset mean that all records below it are equal. */
object ChainHash {
    /** Hash of a stream before its first record, in hex digits. */
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
