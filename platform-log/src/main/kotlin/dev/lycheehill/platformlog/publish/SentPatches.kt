package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.log.PatchId

/**
 * Remembers which patches this process may have sent, so that a second publish of one of them is not answered with
 * "never sent". Thread-safe and bounded.
 */
internal class SentPatches {
    private val appends = LinkedHashMap<String, Int>()

    /** Notes that an append of [id] begins. */
    @Synchronized
    fun begin(id: PatchId) {
        appends.merge(id.value, 1, Int::plus)
        if (appends.size > MAX_PATCHES) appends.remove(appends.keys.first())
    }

    /** Notes that an append of [id] is known not to have taken effect. */
    @Synchronized
    fun notRun(id: PatchId) {
        appends.computeIfPresent(id.value) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Tells whether an append of [id] may have taken effect. */
    @Synchronized
    fun mayHaveSent(id: PatchId): Boolean = id.value in appends

    private companion object {
        const val MAX_PATCHES = 1_024
    }
}
