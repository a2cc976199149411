package dev.lycheehill.fleet.dissemination

import java.util.concurrent.atomic.AtomicLong

/** Counters of dissemination. They only grow and may be read by any thread. */
class DisseminationCounters {
    /** Records refused because they do not extend the node's chain. */
    val refusedRecords = AtomicLong()

    /** Times that the log, or a peer at the same offset, was found to differ from the node's own records. */
    val divergences = AtomicLong()

    /** Record bodies received from peers. */
    val recordsReceived = AtomicLong()

    /** Record bodies received from peers that were held already. */
    val duplicateRecords = AtomicLong()

    /** Snapshots applied. */
    val snapshotsApplied = AtomicLong()

    /** Transfers refused by admission. */
    val transfersRefused = AtomicLong()
}
