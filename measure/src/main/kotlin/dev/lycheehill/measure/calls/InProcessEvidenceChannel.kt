package dev.lycheehill.measure.calls

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.node.LycheehillNode
import dev.lycheehill.node.quarantine.EvidenceChannel

/**
 * Evidence channel that delivers evidence directly to all [nodes] of this process. When the channel is not [enabled],
 * evidence stays on the node that observed the crash or the success.
 */
internal class InProcessEvidenceChannel(
    private val enabled: Boolean,
) : EvidenceChannel {
    @Volatile
    var nodes: List<LycheehillNode> = emptyList()

    override fun send(evidence: CrashEvidence) {
        if (enabled) nodes.forEach { it.quarantine.onCrash(evidence, System.currentTimeMillis()) }
    }

    override fun send(evidence: SuccessEvidence) {
        if (enabled) nodes.forEach { it.quarantine.onSuccess(evidence, System.currentTimeMillis()) }
    }
}
