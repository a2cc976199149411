package dev.lycheehill.platformlog

import dev.lycheehill.config.log.LogEntry

/**
 * Response to [PlatformLog.read].
 *
 * @property entries records in order of their offsets, without gaps.
 * @property firstRetainedOffset offset of the oldest record that the log retains.
 * @property nextOffset offset that the next appended record will get.
 */
data class LogPage(
    val entries: List<LogEntry>,
    val firstRetainedOffset: Long,
    val nextOffset: Long,
)
