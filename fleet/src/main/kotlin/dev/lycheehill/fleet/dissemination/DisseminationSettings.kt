package dev.lycheehill.fleet.dissemination

/**
 * Settings of [Dissemination] and of the [LogReader]. Sections 3.4, 4.2 and 4.5 of the design page specify the defaults.
 *
 * @property announcePeers peers that receive an announcement of a new position.
 * @property repeatAnnounceMs delay after which an announcement is repeated once.
 * @property fetchTimeoutMs time within which a peer must answer a request for records.
 * @property backoffBaseMs bound of the first retry delay.
 * @property backoffCapMs largest bound of a retry delay.
 * @property maxCatchUpRecords largest number of missing records that a peer is sent as records; a peer that lacks more receives a
 *   snapshot.
 * @property maxRecordBytes largest total payload of the records in one message.
 * @property maxTransfers transfers that a node serves concurrently.
 * @property readersPerZone nodes of each zone that follow the log.
 * @property longPollMs time that a read waits at the log for new records.
 * @property verifyPeriodMs period in which the last held record is compared with the log.
 */
data class DisseminationSettings(
    val announcePeers: Int = 4,
    val repeatAnnounceMs: Long = 200,
    val fetchTimeoutMs: Long = 500,
    val backoffBaseMs: Long = 100,
    val backoffCapMs: Long = 5_000,
    val maxCatchUpRecords: Int = 256,
    val maxRecordBytes: Int = 524_288,
    val maxTransfers: Int = 4,
    val readersPerZone: Int = 3,
    val longPollMs: Long = 4_000,
    val verifyPeriodMs: Long = 5_000,
)
