package dev.lycheehill.measure.fleet

/**
 * Mean resource usage of one node of a fleet.
 *
 * @property bytesPerSecond control bytes sent and received per second, without TCP and IP headers.
 * @property coreShare share of one processor core.
 * @property logReadsPerSecond log reads per second of the whole fleet together.
 */
data class NodeUsage(
    val bytesPerSecond: Double,
    val coreShare: Double,
    val logReadsPerSecond: Double,
) {
    companion object {
        /** Measures the usage of [fleet] and of [log] while [work] runs. */
        fun measureDuring(
            fleet: MeasuredFleet,
            log: LongPollingLog,
            work: () -> Unit,
        ): NodeUsage {
            val start = System.nanoTime()
            val bytes = fleet.controlBytes()
            val cpuSeconds = ProcessUsage.cpuSeconds()
            val reads = log.readCount.get()
            work()
            val elapsedSeconds = (System.nanoTime() - start) / 1e9
            return NodeUsage(
                bytesPerSecond = (fleet.controlBytes() - bytes) / elapsedSeconds / fleet.size,
                coreShare = (ProcessUsage.cpuSeconds() - cpuSeconds) / elapsedSeconds / fleet.size,
                logReadsPerSecond = (log.readCount.get() - reads) / elapsedSeconds,
            )
        }
    }
}
