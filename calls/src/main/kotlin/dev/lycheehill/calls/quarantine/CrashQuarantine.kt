package dev.lycheehill.calls.quarantine

/**
 * Finds requests that crash each backend server that runs them. Thread-safe. Times are wall clock milliseconds, because
 * evidence comes from other nodes.
 *
 * Evidence may arrive twice and in any order: the state depends on the set of evidence only, within the bounds.
 */
class CrashQuarantine(
    private val settings: QuarantineSettings = QuarantineSettings(),
) {
    private val suspects = LinkedHashMap<RequestFingerprint, HashMap<String, Long>>()
    private val quarantined = LinkedHashMap<RequestFingerprint, QuarantineEntry>()
    private val successes = LinkedHashMap<RequestFingerprint, Long>()
    private val lifted = LinkedHashMap<RequestFingerprint, Long>()

    @Volatile
    private var isEmpty = true

    /** Whether any request is suspected or refused. While this is false, no fingerprint needs to be computed. */
    @Volatile
    var needsFingerprints = false
        private set

    /** Whether a request with [fingerprint] is refused now. */
    fun isQuarantined(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Boolean {
        if (isEmpty) return false
        return synchronized(this) { quarantined[fingerprint]?.let { nowMs < it.untilMs } ?: false }
    }

    /** Whether success evidence for [fingerprint] is of use to others. */
    @Synchronized
    fun isSuspect(fingerprint: RequestFingerprint): Boolean = fingerprint in suspects || fingerprint in quarantined

    /** Takes evidence of a crash. Returns whether it was new, and so is passed on. */
    @Synchronized
    fun onCrash(
        evidence: CrashEvidence,
        nowMs: Long,
    ): Boolean {
        if (nowMs - evidence.crashedAtMs > settings.crashRetentionMs) return false
        if ((lifted[evidence.fingerprint] ?: Long.MIN_VALUE) >= evidence.crashedAtMs) return false
        needsFingerprints = true
        val crashes = suspects.getOrPut(evidence.fingerprint) { HashMap() }
        val known = crashes[evidence.nodeId]
        if (known != null && known >= evidence.crashedAtMs) return false
        crashes[evidence.nodeId] = evidence.crashedAtMs
        trim(suspects, settings.maxSuspects)
        judge(evidence.fingerprint, nowMs)
        return true
    }

    /** Takes evidence of a success: crashes before it, and up to a minute after, do not count. Returns whether it was new. */
    @Synchronized
    fun onSuccess(
        evidence: SuccessEvidence,
        nowMs: Long,
    ): Boolean {
        if (nowMs - evidence.finishedAtMs > settings.successRetentionMs) return false
        val known = successes[evidence.fingerprint]
        if (known != null && known >= evidence.finishedAtMs) return false
        successes.remove(evidence.fingerprint)
        successes[evidence.fingerprint] = evidence.finishedAtMs
        trim(successes, settings.maxSuccesses)
        judge(evidence.fingerprint, nowMs)
        return true
    }

    /** Quarantined requests. */
    @Synchronized
    fun list(nowMs: Long): List<QuarantineEntry> = quarantined.values.filter { nowMs < it.untilMs }

    /** Ends a quarantine on the operator's word. Evidence from before counts no more. Returns false if there was none. */
    @Synchronized
    fun lift(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Boolean {
        lifted[fingerprint] = nowMs
        trim(lifted, settings.maxEntries)
        suspects.remove(fingerprint)
        val removed = quarantined.remove(fingerprint) != null
        isEmpty = quarantined.isEmpty()
        return removed
    }

    /** Forgets what has expired. To be called about once a second. */
    @Synchronized
    fun expire(nowMs: Long) {
        quarantined.values.removeIf { nowMs >= it.untilMs }
        suspects.values.forEach { crashes -> crashes.values.removeIf { nowMs - it > settings.crashRetentionMs } }
        suspects.values.removeIf { it.isEmpty() }
        successes.values.removeIf { nowMs - it > settings.successRetentionMs }
        lifted.values.removeIf { nowMs - it > settings.crashRetentionMs }
        isEmpty = quarantined.isEmpty()
        needsFingerprints = !isEmpty || suspects.isNotEmpty()
    }

    private fun judge(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ) {
        val success = successes[fingerprint]
        val known = suspects[fingerprint].orEmpty()
        val oldestMs = (known.values.maxOrNull() ?: 0) - settings.crashRetentionMs
        val crashes = known.filterValues { it >= oldestMs && (success == null || it > success + settings.successProtectionMs) }
        if (crashes.size >= settings.minCrashedTargets) {
            val since = crashes.values.max()
            quarantined[fingerprint] = QuarantineEntry(fingerprint, crashes.keys, since, since + settings.durationMs)
            trim(quarantined, settings.maxEntries)
        } else {
            quarantined.remove(fingerprint)
        }
        isEmpty = quarantined.none { (_, entry) -> nowMs < entry.untilMs }
    }

    private fun <V> trim(
        map: LinkedHashMap<RequestFingerprint, V>,
        max: Int,
    ) {
        while (map.size > max) map.remove(map.keys.first())
    }
}
