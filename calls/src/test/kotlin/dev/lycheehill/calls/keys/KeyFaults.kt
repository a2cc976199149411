package dev.lycheehill.calls.keys

/** Faults of a simulated history, as shares or mean periods in milliseconds (0 for never), and weakened rules. */
internal data class KeyFaults(
    val loss: Double = 0.0,
    val slowMessages: Double = 0.0,
    val crashEveryMs: Int = 0,
    val pauseEveryMs: Int = 0,
    val partitionEveryMs: Int = 0,
    val epochEveryMs: Int = 6_000,
    val clientSkewMs: Int = 200,
    val failedAttempts: Double = 0.0,
    val skippedEpochs: Double = 0.0,
    val settings: KeySettings = KeySettings(),
    val sameBootAfterCrash: Boolean = false,
    val proposeUnsealed: Boolean = false,
) {
    companion object {
        val ALL =
            KeyFaults(
                loss = 0.1,
                slowMessages = 0.05,
                crashEveryMs = 6_000,
                pauseEveryMs = 5_000,
                partitionEveryMs = 6_000,
                epochEveryMs = 4_000,
                clientSkewMs = 4_000,
                failedAttempts = 0.3,
                skippedEpochs = 0.1,
            )

        /** Zones are cut off for long, while epochs follow each other closely. */
        val LONG_PARTITIONS = KeyFaults(loss = 0.1, partitionEveryMs = 15_000, epochEveryMs = 1_500, skippedEpochs = 0.02)

        /** Members crash and pause in large numbers. */
        val STORM = ALL.copy(crashEveryMs = 1_500, pauseEveryMs = 2_000, partitionEveryMs = 0)
    }
}
