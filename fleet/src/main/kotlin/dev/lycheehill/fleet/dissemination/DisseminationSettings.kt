package dev.lycheehill.fleet.dissemination

/** Times and limits of dissemination. The defaults are those of the design page, sections 3.4, 4.2 and 4.5. */
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
