package dev.lycheehill.node.quarantine

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence

/** Passes the evidence that this node found on to the other nodes. */
interface EvidenceChannel {
    /** Sends evidence of a crash. */
    fun send(evidence: CrashEvidence)

    /** Sends evidence that a suspected request ended well. */
    fun send(evidence: SuccessEvidence)

    /** Keeps the evidence on this node. */
    object None : EvidenceChannel {
        override fun send(evidence: CrashEvidence) = Unit

        override fun send(evidence: SuccessEvidence) = Unit
    }
}
