package dev.lycheehill.fleet.store

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.keyed.CallFailureTracker
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import kotlin.random.Random

/**
 * Writes tombstones of members to the store that the store has lost, one at a time. The members themselves have ended.
 *
 * @param tombstoneOf returns the tombstone of a member, or null if the member has come back.
 */
internal class TombstoneRepair(
    private val store: KeyedStore,
    private val timers: TimerService,
    settings: StoreFleetSettings,
    random: Random,
    private val tombstoneOf: (nodeId: String) -> MemberRecord?,
) {
    private val calls = CallFailureTracker(Backoff(random, capMs = settings.maxRetryDelayMs))
    private val pendingNodeIds = LinkedHashSet<String>()
    private var isWriting = false

    /** Writes the tombstone of the member [nodeId]. */
    fun repair(nodeId: String) {
        pendingNodeIds.add(nodeId)
        if (!isWriting) writeNext()
    }

    private fun writeNext() {
        val nodeId = pendingNodeIds.firstOrNull() ?: return
        val tombstone = tombstoneOf(nodeId)
        if (tombstone == null) {
            pendingNodeIds.remove(nodeId)
            writeNext()
            return
        }
        isWriting = true
        store.put(KeyedTopic.MEMBERS, nodeId, MemberCodec.encode(tombstone)) { result ->
            result.fold({ timers.after(calls.recordFailure(), ::continueWriting) }) {
                calls.recordSuccess()
                pendingNodeIds.remove(nodeId)
                continueWriting()
            }
        }
    }

    private fun continueWriting() {
        isWriting = false
        writeNext()
    }
}
