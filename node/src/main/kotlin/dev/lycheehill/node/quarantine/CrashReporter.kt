package dev.lycheehill.node.quarantine

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.quarantine.RequestFingerprint
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.node.http.InboundCall

/**
 * Reports to the other nodes which requests were in flight when the backend server beside this node crashed, and which
 * suspected requests succeeded. Thread-safe.
 */
internal class CrashReporter(
    private val quarantine: CrashQuarantine,
    private val channel: EvidenceChannel,
    private val fleet: FleetView,
    private val timers: TimerService,
) {
    /** Whether any request is suspected or quarantined. While false, no fingerprint needs to be computed. */
    val needsFingerprints: Boolean get() = quarantine.needsFingerprints

    /** Returns the fingerprint of [call], computed from its method, its URI and the beginning of its body. */
    fun fingerprintOf(call: InboundCall): RequestFingerprint {
        val prefix = ByteArray(minOf(call.body.readableBytes(), RequestFingerprint.BODY_PREFIX_BYTES))
        call.body.getBytes(call.body.readerIndex(), prefix)
        return RequestFingerprint.of(call.method.name(), call.uri, prefix)
    }

    /** Whether requests with [fingerprint] are refused now. */
    fun isQuarantined(fingerprint: RequestFingerprint): Boolean = quarantine.isQuarantined(fingerprint, timers.wallMillis())

    /** Reports that the backend server crashed while it ran a request with [fingerprint]. */
    fun crashed(fingerprint: RequestFingerprint) {
        val now = timers.wallMillis()
        val self = fleet.self
        val evidence = CrashEvidence(fingerprint, self.nodeId, self.incarnation, now)
        if (quarantine.onCrash(evidence, now)) channel.send(evidence)
    }

    /** Reports that a request with [fingerprint] succeeded, if such requests are suspected. */
    fun succeeded(fingerprint: RequestFingerprint) {
        if (!quarantine.isSuspect(fingerprint)) return
        val now = timers.wallMillis()
        val evidence = SuccessEvidence(fingerprint, fleet.self.nodeId, now)
        if (quarantine.onSuccess(evidence, now)) channel.send(evidence)
    }
}
