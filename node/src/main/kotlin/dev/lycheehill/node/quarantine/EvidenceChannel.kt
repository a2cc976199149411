package dev.lycheehill.node.quarantine

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence

/** Sends evidence that this node has found to the other nodes. */
interface EvidenceChannel {
    /** Sends evidence that a request was in flight when a backend server crashed. */
    fun send(evidence: CrashEvidence)

    /** Sends evidence that a suspected request succeeded. */
    fun send(evidence: SuccessEvidence)

    /** [EvidenceChannel] that sends nothing, so that evidence stays on this node. */
    object None : EvidenceChannel {
        override fun send(evidence: CrashEvidence) = Unit

        override fun send(evidence: SuccessEvidence) = Unit
    }
}
