package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlin.random.Random

/** Selects the nodes that receive a heartbeat in each period: all nodes of a small fleet, otherwise a fixed number in round-robin order. */
internal class HeartbeatSchedule(
    private val settings: StoreFleetSettings,
    random: Random,
) {
    private var position = random.nextInt(Int.MAX_VALUE / 2)

    /** Returns the receivers of the next period. The order of [peers] must not change between periods. */
    fun next(peers: List<MemberRecord>): List<MemberRecord> {
        if (peers.size <= settings.fullFanoutMaxPeers) return peers
        val start = position % peers.size
        position = start + settings.heartbeatFanout
        return List(settings.heartbeatFanout) { peers[(start + it) % peers.size] }
    }
}
