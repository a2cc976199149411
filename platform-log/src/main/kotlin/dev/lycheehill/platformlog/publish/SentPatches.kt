package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.log.PatchId

/**
 * Records which patches this process may have sent to the log, so that a second publish of such a patch is not reported as
 * never sent. Thread-safe. When more than [MAX_PATCHES] patches are recorded, the oldest is dropped.
 */
internal class SentPatches {
    private val appendCounts = LinkedHashMap<String, Int>()

    /** Records that an append of patch [id] begins, and may take effect from now on. */
    @Synchronized
    fun markSending(id: PatchId) {
        appendCounts.merge(id.value, 1, Int::plus)
        if (appendCounts.size > MAX_PATCHES) appendCounts.remove(appendCounts.keys.first())
    }

    /** Records that an append of patch [id] has certainly not taken effect. */
    @Synchronized
    fun markNotRun(id: PatchId) {
        appendCounts.computeIfPresent(id.value) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Returns whether an append of patch [id] may have taken effect. */
    @Synchronized
    fun mayHaveSent(id: PatchId): Boolean = id.value in appendCounts

    private companion object {
        const val MAX_PATCHES = 1_024
    }
}
