package dev.lycheehill.measure.fleet

/**
 * Use of one node on average.
 *
 * @property bytesPerSecond control bytes sent and received, without TCP and IP headers.
 * @property coreShare processor time in seconds for each second.
 * @property logReadsPerSecond reads of the log by the whole fleet.
 */
data class NodeUsage(
    val bytesPerSecond: Double,
    val coreShare: Double,
    val logReadsPerSecond: Double,
) {
    companion object {
        /** Measures [fleet] while [work] runs. */
        fun during(
            fleet: MeasuredFleet,
            log: LongPollingLog,
            work: () -> Unit,
        ): NodeUsage {
            val start = System.nanoTime()
            val bytes = fleet.controlBytes()
            val cpu = ProcessUsage.cpuSeconds()
            val reads = log.reads.get()
            work()
            val seconds = (System.nanoTime() - start) / 1e9
            return NodeUsage(
                bytesPerSecond = (fleet.controlBytes() - bytes) / seconds / fleet.size,
                coreShare = (ProcessUsage.cpuSeconds() - cpu) / seconds / fleet.size,
                logReadsPerSecond = (log.reads.get() - reads) / seconds,
            )
        }
    }
}
