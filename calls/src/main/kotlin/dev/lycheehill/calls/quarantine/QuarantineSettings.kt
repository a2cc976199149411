package dev.lycheehill.calls.quarantine

/** Settings of the crash quarantine. */
data class QuarantineSettings(
    val minCrashedTargets: Int = 2,
    val durationMs: Long = 600_000,
    /** Time for which one crash is remembered as evidence. */
    val crashRetentionMs: Long = 600_000,
    /** Time for which a success protects its fingerprint. */
    val successProtectionMs: Long = 60_000,
    val maxEntries: Int = 1_024,
    val maxSuspects: Int = 4_096,
    val maxSuccesses: Int = 4_096,
) {
    /** A success is remembered as long as a crash that it excuses. */
    val successRetentionMs: Long get() = crashRetentionMs + successProtectionMs
}
