package dev.lycheehill.calls.quarantine

/** Settings of [CrashQuarantine]. */
data class QuarantineSettings(
    /** Number of different targets that must have crashed before a request is quarantined. */
    val minCrashedTargets: Int = 2,
    /** Duration of a quarantine after the latest crash. */
    val durationMs: Long = 600_000,
    /** Time for which a crash is kept as evidence. */
    val crashRetentionMs: Long = 600_000,
    /** Time after a success in which crashes do not count for its fingerprint. */
    val successProtectionMs: Long = 60_000,
    val maxEntries: Int = 1_024,
    val maxSuspects: Int = 4_096,
    val maxSuccesses: Int = 4_096,
) {
    /** Time for which a success is kept: as long as the latest crash that the success excuses. */
    val successRetentionMs: Long get() = crashRetentionMs + successProtectionMs
}
