package dev.lycheehill.calls.quarantine

/**
 * Detects requests that crash the backend servers that run them, and quarantines these requests. Thread-safe.
 *
 * Times are in milliseconds of the wall clock, because evidence comes from other nodes. Evidence may arrive twice and in any
 * order: up to the size limits of the settings, the state depends only on the set of evidence.
 */
class CrashQuarantine(
    private val settings: QuarantineSettings = QuarantineSettings(),
) {
    private val suspects = LinkedHashMap<RequestFingerprint, HashMap<String, Long>>()
    private val quarantined = LinkedHashMap<RequestFingerprint, QuarantineEntry>()
    private val successes = LinkedHashMap<RequestFingerprint, Long>()
    private val liftedAtMs = LinkedHashMap<RequestFingerprint, Long>()

    @Volatile
    private var isQuarantineEmpty = true

    /** Whether any request is suspected or quarantined. While false, no fingerprints need to be computed. */
    @Volatile
    var needsFingerprints = false
        private set

    /** Returns whether a request with [fingerprint] is quarantined at [nowMs]. */
    fun isQuarantined(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Boolean {
        if (isQuarantineEmpty) return false
        return synchronized(this) { quarantined[fingerprint]?.let { nowMs < it.untilMs } ?: false }
    }

    /** Returns whether [fingerprint] is suspected or quarantined, so that other nodes need evidence of a success. */
    @Synchronized
    fun isSuspect(fingerprint: RequestFingerprint): Boolean = fingerprint in suspects || fingerprint in quarantined

    /** Adds evidence of a crash. Returns whether the evidence is new and must be passed on to other nodes. */
    @Synchronized
    fun onCrash(
        evidence: CrashEvidence,
        nowMs: Long,
    ): Boolean {
        if (nowMs - evidence.crashedAtMs > settings.crashRetentionMs) return false
        if ((liftedAtMs[evidence.fingerprint] ?: Long.MIN_VALUE) >= evidence.crashedAtMs) return false
        needsFingerprints = true
        val crashes = suspects.getOrPut(evidence.fingerprint) { HashMap() }
        val known = crashes[evidence.nodeId]
        if (known != null && known >= evidence.crashedAtMs) return false
        crashes[evidence.nodeId] = evidence.crashedAtMs
        evictOldest(suspects, settings.maxSuspects)
        updateQuarantine(evidence.fingerprint, nowMs)
        return true
    }

    /**
     * Adds evidence of a success, which excuses crashes before the success and within
     * [QuarantineSettings.successProtectionMs] after it. Returns whether the evidence is new.
     */
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
        evictOldest(successes, settings.maxSuccesses)
        updateQuarantine(evidence.fingerprint, nowMs)
        return true
    }

    /** Returns the requests that are quarantined at [nowMs]. */
    @Synchronized
    fun list(nowMs: Long): List<QuarantineEntry> = quarantined.values.filter { nowMs < it.untilMs }

    /** Ends a quarantine at the request of an operator and discards earlier evidence. Returns false if there was no quarantine. */
    @Synchronized
    fun lift(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Boolean {
        liftedAtMs[fingerprint] = nowMs
        evictOldest(liftedAtMs, settings.maxEntries)
        suspects.remove(fingerprint)
        val removed = quarantined.remove(fingerprint) != null
        isQuarantineEmpty = quarantined.isEmpty()
        return removed
    }

    /** Removes expired evidence and quarantines. Must be called about once per second. */
    @Synchronized
    fun expire(nowMs: Long) {
        quarantined.values.removeIf { nowMs >= it.untilMs }
        suspects.values.forEach { crashes -> crashes.values.removeIf { nowMs - it > settings.crashRetentionMs } }
        suspects.values.removeIf { it.isEmpty() }
        successes.values.removeIf { nowMs - it > settings.successRetentionMs }
        liftedAtMs.values.removeIf { nowMs - it > settings.crashRetentionMs }
        isQuarantineEmpty = quarantined.isEmpty()
        needsFingerprints = !isQuarantineEmpty || suspects.isNotEmpty()
    }

    private fun updateQuarantine(
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
            evictOldest(quarantined, settings.maxEntries)
        } else {
            quarantined.remove(fingerprint)
        }
        isQuarantineEmpty = quarantined.none { (_, entry) -> nowMs < entry.untilMs }
    }

    private fun <V> evictOldest(
        map: LinkedHashMap<RequestFingerprint, V>,
        max: Int,
    ) {
        while (map.size > max) map.remove(map.keys.first())
    }
}
