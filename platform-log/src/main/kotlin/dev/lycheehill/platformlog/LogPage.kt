package dev.lycheehill.platformlog

import dev.lycheehill.config.log.LogEntry

/**
 * One answer of [PlatformLog.read].
 *
 * @property firstRetainedOffset offset of the oldest record that the log still holds.
 * @property nextOffset offset that the next append will get.
 */
data class LogPage(
    val entries: List<LogEntry>,
    val firstRetainedOffset: Long,
    val nextOffset: Long,
)
