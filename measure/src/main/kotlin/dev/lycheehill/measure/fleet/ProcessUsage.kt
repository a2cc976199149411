package dev.lycheehill.measure.fleet

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory

/** Processor time and heap of this process. */
object ProcessUsage {
    private const val NANOS_PER_SECOND = 1e9
    private const val SETTLE_MS = 200L
    private val system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)

    /** Processor time used so far in seconds, on all cores together. */
    fun cpuSeconds(): Double = system.processCpuTime / NANOS_PER_SECOND

    /** Bytes of heap in use after a collection. */
    fun heapBytes(): Long {
        repeat(3) {
            System.gc()
            Thread.sleep(SETTLE_MS)
        }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
