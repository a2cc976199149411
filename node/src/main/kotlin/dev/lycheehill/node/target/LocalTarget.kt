package dev.lycheehill.node.target

import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.api.TargetLoad
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicInteger

/**
 * Backend server beside this node: its registration, the lease of the registration and the calls in flight. Thread-safe.
 *
 * When the lease expires, this node is published as `DRAINING`. [refusal] compares the lease with the clock and does not
 * depend on a timer, so a node whose process was paused refuses calls before its first timer runs.
 *
 * @param onSlots receives the number of calls that the backend server may run at a time, at each announcement.
 */
class LocalTarget(
    private val fleet: FleetView,
    private val timers: TimerService,
    private val onSlots: (Int) -> Unit = {},
) {
    @Volatile
    private var registration: TargetRegistration? = null

    @Volatile
    private var leaseEndNanos = 0L

    @Volatile
    private var draining = false

    private val runningCalls = AtomicInteger()

    // Process that has stated its shutdown itself. Unlike DRAINING in a heartbeat, this cannot be taken back.
    private var retiredProcess: Departure? = null

    /**
     * Exponentially weighted moving average of the durations of served calls, in nanoseconds; 0 before the first served
     * call. Concurrent updates may be lost.
     */
    @Volatile
    var meanLatencyNanos: Long = 0
        private set

    /**
     * Latest load that the backend server reported; null before the first report. Reports can be late or misleading, so the
     * load is shown to operators and not used for decisions.
     */
    @Volatile
    var reportedLoad: TargetLoad? = null

    @Volatile
    private var unreachableUntilNanos = timers.nowNanos()

    /** Whether this node is draining, after a call of [drain]. */
    val isDraining: Boolean get() = draining

    /** Number of calls that the backend server is running. */
    val inFlight: Int get() = runningCalls.get()

    /**
     * Returns the latest registration, or null before the first announcement. A withdrawn registration is returned with the
     * state `DRAINING`.
     */
    fun registration(): TargetRegistration? = registration

    /** Registers the backend server with [announced] and renews its lease. A process that has stated its shutdown stays `DRAINING`. */
    @Synchronized
    fun announce(announced: TargetRegistration) {
        val next = if (isRetired(announced)) announced.copy(state = MemberState.DRAINING) else announced
        val renewsSame = registration == next && !isLeaseExpired()
        registration = next
        onSlots(effectiveSlots(next))
        leaseEndNanos = timers.nowNanos() + next.leaseMs * NANOS_PER_MILLI
        if (!renewsSame) publish()
        when {
            next.state >= MemberState.DRAINING -> recordDeparture(next)
            hasDeparted(next.instanceId, next.startedAtMs) -> fleet.recordDeparture(null)
        }
    }

    /** Sets the registered backend server to `DRAINING` and records its departure. Does nothing without a registration. */
    @Synchronized
    fun withdraw() {
        if (registration == null) return
        registration = registration?.copy(state = MemberState.DRAINING)
        publish()
        registration?.let(::recordDeparture)
    }

    /**
     * Withdraws the registered backend server for good if it is [process], which has stated its shutdown. Returns false if another
     * process is registered or the process is withdrawn already.
     */
    @Synchronized
    fun retire(process: Departure): Boolean {
        val current = registration ?: return false
        if (!process.covers(current.instanceId, current.startedAtMs) || isRetired(current)) return false
        retiredProcess = process
        fleet.recordDeparture(process)
        withdraw()
        return true
    }

    /**
     * Whether the departure of the backend server [instanceId] that started at [startedAtMs] is recorded, by this process or
     * by an earlier process of this node. [startedAtMs] is a wall time in milliseconds; 0 if not stated.
     */
    fun hasDeparted(
        instanceId: String,
        startedAtMs: Long,
    ): Boolean = fleet.self.departure?.covers(instanceId, startedAtMs) == true

    private fun isRetired(current: TargetRegistration) = retiredProcess?.covers(current.instanceId, current.startedAtMs) == true

    private fun recordDeparture(departing: TargetRegistration) {
        if (departing.instanceId.isEmpty() || hasDeparted(departing.instanceId, departing.startedAtMs)) return
        fleet.recordDeparture(Departure(departing.instanceId, departing.startedAtMs))
    }

    /** Starts to refuse all further calls and publishes this node as `DRAINING`. Cannot be undone. */
    @Synchronized
    fun drain() {
        if (draining) return
        draining = true
        publish()
    }

    /** Refuses calls for a short time, after the backend server did not accept a connection. */
    fun onUnreachable() {
        unreachableUntilNanos = timers.nowNanos() + UNREACHABLE_MS * NANOS_PER_MILLI
    }

    /** Publishes this node as `DRAINING` if the lease has expired. Must be called periodically. */
    @Synchronized
    fun checkLease() {
        if (registration != null && isLeaseExpired() && fleet.self.state < MemberState.DRAINING) publish()
    }

    /** Returns the reason why new calls are refused, as written to headers and logs, or null while calls are accepted. */
    fun refusal(): String? {
        val current = registration
        return when {
            draining -> "draining"
            current == null -> "no-target"
            isLeaseExpired() -> "lease-expired"
            current.state >= MemberState.DRAINING -> "draining"
            timers.nowNanos() - unreachableUntilNanos < 0 -> "backend-down"
            else -> null
        }
    }

    internal fun onCallStarted() {
        runningCalls.incrementAndGet()
    }

    /**
     * Records the end of a call that took [durationNanos]. [served] is false if the call was refused or failed: such calls
     * are mostly short, so they do not count in [meanLatencyNanos].
     */
    internal fun onCallEnded(
        durationNanos: Long,
        served: Boolean,
    ) {
        runningCalls.decrementAndGet()
        if (!served) return
        val previous = meanLatencyNanos
        meanLatencyNanos = if (previous == 0L) durationNanos else previous + (durationNanos - previous) / LATENCY_AVERAGE_DIVISOR
    }

    // Called at each lease renewal, so that a changed limit in the configuration takes effect.
    private fun effectiveSlots(next: TargetRegistration): Int {
        val service = fleet.foldState().content.services[next.service]
        return if (service == null) next.slots else minOf(next.slots, service.maxInFlightPerTarget)
    }

    private fun isLeaseExpired() = timers.nowNanos() - leaseEndNanos > 0

    private fun publish() {
        val current = registration
        val state = if (refusal() != null) MemberState.DRAINING else current?.state ?: MemberState.DRAINING
        log.info { "target of service '${current?.service.orEmpty()}' is $state" }
        fleet.announce(state, current?.service.orEmpty(), current?.slots ?: 0)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val LATENCY_AVERAGE_DIVISOR = 8

        // A restarted backend server is back within seconds. Each time this period has passed, a call tries to connect again.
        const val UNREACHABLE_MS = 500L
    }
}
