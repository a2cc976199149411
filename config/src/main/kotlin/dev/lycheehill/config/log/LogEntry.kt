package dev.lycheehill.config.log

/** Entry of a log stream: the encoded record [payload] at [offset]. */
class LogEntry(
    val offset: Long,
    val payload: ByteArray,
)
