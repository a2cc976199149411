package dev.lycheehill.fleet.store

import dev.lycheehill.platformlog.keyed.FollowerSettings

/**
 * Settings of a [StoreFleet].
 *
 * @property heartbeatPeriodMs period of heartbeats; several fit into the 3 s without contact after which a node counts as out of touch.
 * @property fullFanoutMaxPeers largest number of peers that all receive a heartbeat in every period, so that a failed node is suspected
 *   soon.
 * @property heartbeatFanout peers that receive a heartbeat per period in a larger fleet, in round-robin order. Each node then also
 *   receives that many on average, and fewer than 1% of the nodes receive none within a second. A heartbeat costs as much as 0.1 calls
 *   to the store.
 * @property suspectAfterMs time without a heartbeat after which a member is suspected, if each period brings a heartbeat from it. In a
 *   larger fleet this time is multiplied by the number of periods that cover all peers.
 * @property repeatRecordMs time for which heartbeats carry a changed record, since single heartbeats may be lost.
 * @property syncDelayMs time that a node with access to the store waits for the store before it asks another node.
 * @property readersPerZone nodes of each zone that wait at the store for configurations; the others take configurations from a node of
 *   their zone. Fewer readers make fewer billed calls; more readers tolerate that the store rejects some of them. When the store
 *   rejects all readers of a zone, other zones supply it.
 * @property readerTimeoutMs time without a heartbeat from any reader of the zone after which a node reads the store itself. Each reader
 *   sends every node a heartbeat within one round, which takes 20 s in a fleet of 100.
 * @property syncJitterMs time over which the nodes of a zone spread their requests for a new configuration.
 * @property minTableSyncPeriodMs shortest time between two requests for all member records, which are large in a large fleet.
 * @property directoryPeriodMs mean period in which the member records are read again to find changes that no heartbeat delivered.
 * @property maxRetryDelayMs longest delay before a failed call to the store is retried. Records must be written within 2 s after the
 *   store is available again.
 * @property maxCopyAgeMs age of the oldest copy from which the store is expected to be restored. A node whose record was acknowledged
 *   within this time writes it again at once; other losses are found when all records are read next.
 * @property follower settings of the reads that follow the configurations.
 */
data class StoreFleetSettings(
    val heartbeatPeriodMs: Long = 1_000,
    val fullFanoutMaxPeers: Int = 16,
    val heartbeatFanout: Int = 5,
    val suspectAfterMs: Long = 3_500,
    val repeatRecordMs: Long = 5_000,
    val syncDelayMs: Long = 600,
    val readersPerZone: Int = 5,
    val readerTimeoutMs: Long = 20_000,
    val syncJitterMs: Long = 300,
    val minTableSyncPeriodMs: Long = 1_000,
    val directoryPeriodMs: Long = 30_000,
    val maxRetryDelayMs: Long = 500,
    val maxCopyAgeMs: Long = 60_000,
    val follower: FollowerSettings = FollowerSettings(),
)
