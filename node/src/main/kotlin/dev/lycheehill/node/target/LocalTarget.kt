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
 * The backend server beside this node: its registration, its lease and the calls in flight. Thread-safe.
 *
 * An expired lease makes the member `DRAINING`. The check in [refusal] does not depend on a timer, so a process that was
 * paused refuses work before its first timer runs.
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

    private val running = AtomicInteger()

    /** Smoothed duration of recent calls that were served; 0 before the first. Concurrent updates may be lost. */
    @Volatile
    var meanLatencyNanos: Long = 0
        private set

    /** Latest load that the backend server reported. Reports lag or mislead, so it is shown and not used for decisions. */
    @Volatile
    var reportedLoad: TargetLoad? = null

    @Volatile
    private var downUntilNanos = timers.nowNanos()

    /** Whether this node drains. */
    val isDraining: Boolean get() = draining

    /** Calls that the backend server is running. */
    val inFlight: Int get() = running.get()

    /** Latest announcement, or null before the first and after a withdrawal. */
    fun registration(): TargetRegistration? = registration

    /** Registers the backend server or renews its lease. */
    @Synchronized
    fun announce(next: TargetRegistration) {
        val renewsSame = registration == next && !isLeaseExpired()
        registration = next
        onSlots(slotsOf(next))
        leaseEndNanos = timers.nowNanos() + next.leaseMs * NANOS_PER_MILLI
        if (!renewsSame) publish()
        when {
            next.state >= MemberState.DRAINING -> recordDeparture(next)
            hasDeparted(next.instanceId, next.startedAtMs) -> fleet.recordDeparture(null)
        }
    }

    /** Removes the backend server. */
    @Synchronized
    fun withdraw() {
        if (registration == null) return
        registration = registration?.copy(state = MemberState.DRAINING)
        publish()
        registration?.let(::recordDeparture)
    }

    /** Whether the start named [instanceId] of [startedAtMs] has said that it leaves, to this process or to an earlier one of this node. */
    fun hasDeparted(
        instanceId: String,
        startedAtMs: Long,
    ): Boolean = fleet.self.departure?.covers(instanceId, startedAtMs) == true

    private fun recordDeparture(leaving: TargetRegistration) {
        if (leaving.instanceId.isEmpty() || hasDeparted(leaving.instanceId, leaving.startedAtMs)) return
        fleet.recordDeparture(Departure(leaving.instanceId, leaving.startedAtMs))
    }

    /** Refuses all further work for this target. */
    @Synchronized
    fun drain() {
        if (draining) return
        draining = true
        publish()
    }

    /** The backend server accepted no connection, so calls are refused for a short time. */
    fun onUnreachable() {
        downUntilNanos = timers.nowNanos() + DOWN_MS * NANOS_PER_MILLI
    }

    /** Publishes an expired lease. Called periodically. */
    @Synchronized
    fun checkLease() {
        if (registration != null && isLeaseExpired() && fleet.self.state < MemberState.DRAINING) publish()
    }

    /** Returns the reason why new work is refused, or null. */
    fun refusal(): String? {
        val current = registration
        return when {
            draining -> "draining"
            current == null -> "no-target"
            isLeaseExpired() -> "lease-expired"
            current.state >= MemberState.DRAINING -> "draining"
            timers.nowNanos() - downUntilNanos < 0 -> "backend-down"
            else -> null
        }
    }

    internal fun onCallStarted() {
        running.incrementAndGet()
    }

    /** A call has ended after [durationNanos]; [served] is false when it was refused or failed, which is mostly quick. */
    internal fun onCallEnded(
        durationNanos: Long,
        served: Boolean,
    ) {
        running.decrementAndGet()
        if (!served) return
        val last = meanLatencyNanos
        meanLatencyNanos = if (last == 0L) durationNanos else last + (durationNanos - last) / LATENCY_SMOOTHING
    }

    // Each renewal of the lease applies the limit of the configuration that is then in force.
    private fun slotsOf(next: TargetRegistration): Int {
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
        const val LATENCY_SMOOTHING = 8

        // A restarted backend server is back within seconds; a call finds out every half second.
        const val DOWN_MS = 500L
    }
}
