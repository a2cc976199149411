package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlin.random.Random

/** Chooses the nodes that get a beacon in each period: all in a small fleet, else a part of them by turns. */
internal class HeartbeatSchedule(
    private val settings: StoreFleetSettings,
    random: Random,
) {
    private var position = random.nextInt(Int.MAX_VALUE / 2)

    /** Returns the receivers among [peers], which keep their order from one period to the next. */
    fun next(peers: List<MemberRecord>): List<MemberRecord> {
        if (peers.size <= settings.fullFanoutMaxPeers) return peers
        val start = position % peers.size
        position = start + settings.heartbeatFanout
        return List(settings.heartbeatFanout) { peers[(start + it) % peers.size] }
    }
}
