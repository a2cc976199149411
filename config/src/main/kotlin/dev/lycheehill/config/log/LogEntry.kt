package dev.lycheehill.config.log

/** One record of a log stream. */
class LogEntry(
    val offset: Long,
    val payload: ByteArray,
)
