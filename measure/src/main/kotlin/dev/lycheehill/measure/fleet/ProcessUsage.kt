package dev.lycheehill.measure.fleet

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory

/** Processor time and heap usage of this process. */
object ProcessUsage {
    private const val NANOS_PER_SECOND = 1e9
    private const val SETTLE_MS = 200L
    private val system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)

    /** Returns the processor time that this process has used on all cores so far, in seconds. */
    fun cpuSeconds(): Double = system.processCpuTime / NANOS_PER_SECOND

    /** Runs the garbage collector and returns the heap in use after it, in bytes. */
    fun heapBytes(): Long {
        repeat(3) {
            System.gc()
            Thread.sleep(SETTLE_MS)
        }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
