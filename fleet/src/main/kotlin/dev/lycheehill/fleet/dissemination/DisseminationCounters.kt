package dev.lycheehill.fleet.dissemination

import java.util.concurrent.atomic.AtomicLong

/** Counters of [Dissemination]. Counters never decrease and may be read by any thread. */
class DisseminationCounters {
    /** Records from peers that were refused because they do not extend the chain of this node. */
    val refusedRecords = AtomicLong()

    /** Number of times that the log or a peer was found to differ from the records of this node. */
    val divergences = AtomicLong()

    /** Records received from peers. */
    val recordsReceived = AtomicLong()

    /** Records received from peers that this node already had. */
    val duplicateRecords = AtomicLong()

    /** Snapshots applied, from peers or from the log. */
    val snapshotsApplied = AtomicLong()

    /** Transfers refused because of the limit on concurrent transfers. */
    val transfersRefused = AtomicLong()
}
