package dev.lycheehill.fleet.store

import dev.lycheehill.platformlog.keyed.FollowerSettings

/**
 * Settings of a [StoreFleet].
 *
 * @property heartbeatPeriodMs period of the beacons; a part of the 3 s after which a node counts as out of touch.
 * @property fullFanoutMaxPeers size of a fleet up to which all other nodes get a beacon in each period, so that a silent one is soon
 *   suspected.
 * @property heartbeatFanout nodes that get a beacon in one period in a larger fleet, by turns. A node then hears as many, which
 *   leaves less than one in a hundred without a beacon in a second; a beacon costs as much as a tenth of a call.
 * @property suspectAfterMs silence after which a node that gets a beacon each period is suspected.
 * @property repeatRecordMs time for which beacons carry a record that has changed, as single ones may be lost.
 * @property syncDelayMs time for which a node that reaches the store waits for it before it asks another node.
 * @property readersPerZone nodes of each zone that wait at the store for configurations, the others take them from a node
 *   of their zone; each call is priced, and one reader or all of a zone may be turned away.
 * @property readerTimeoutMs time without a beacon of any reader of the zone after which a node reads itself; each sends it one
 *   within a turn, 20 s in a fleet of 100.
 * @property syncJitterMs time over which the nodes of a zone spread their questions for a new configuration.
 * @property minTableSyncPeriodMs shortest time between two questions for all member records, which are long in a large fleet.
 * @property directoryPeriodMs mean period in which the member records are read again, for what no beacon has told.
 * @property maxRetryDelayMs longest pause before a record is written again; entries are due 2 s after the store is back.
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
    val follower: FollowerSettings = FollowerSettings(),
)
