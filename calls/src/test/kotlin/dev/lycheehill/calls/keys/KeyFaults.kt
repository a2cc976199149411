package dev.lycheehill.calls.keys

/**
 * Faults and weakened rules of a [KeyDomainSimulation]. Fractions are probabilities, periods are means in milliseconds, and a
 * period of 0 means never.
 */
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

        /** Long network partitions, while epochs follow each other closely. */
        val LONG_PARTITIONS = KeyFaults(loss = 0.1, partitionEveryMs = 15_000, epochEveryMs = 1_500, skippedEpochs = 0.02)

        /** Members crash and pause frequently. */
        val STORM = ALL.copy(crashEveryMs = 1_500, pauseEveryMs = 2_000, partitionEveryMs = 0)
    }
}
