package dev.lycheehill.node.keys

import dev.lycheehill.config.home.HomeAssignment
import dev.lycheehill.config.home.HomeLimits
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.core.hash.Rendezvous
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** Computes the homes that a key domain should have. The functions are pure, so equal arguments give equal homes on all nodes. */
internal object HomePlanner {
    // Keeps precision when the weight of a service is divided among its targets as an integer.
    private const val WEIGHT_SCALE = 1_000

    /**
     * Returns the homes of [domain]: the live targets of the services to which the routes of the domain send calls, each with
     * an equal share of the weight of its service. A target in state `SUSPECT` stays a home, because it often becomes `READY`
     * again.
     */
    fun plan(
        domain: String,
        content: ConfigContent,
        members: Collection<MemberRecord>,
    ): List<HomeAssignment> {
        val weights = weightsOf(domain, content)
        val liveMembers = members.filter { it.service in weights && (it.state == MemberState.READY || it.state == MemberState.SUSPECT) }
        val targetCounts = liveMembers.groupingBy { it.service }.eachCount()
        val planned =
            liveMembers.associate { member ->
                val weight = weights.getValue(member.service) * WEIGHT_SCALE / targetCounts.getValue(member.service)
                member.nodeId to HomeAssignment(member.nodeId, member.bootId, if (weights.size == 1) 1 else maxOf(1, weight))
            }
        return Rendezvous.rank(domain, planned.keys).take(HomeLimits.MAX_MEMBERS).map(planned::getValue)
    }

    private fun weightsOf(
        domain: String,
        content: ConfigContent,
    ): Map<String, Int> =
        content.routes.values
            .filter { it.domain() == domain }
            .flatMap { it.weights.entries }
            .filter { it.value > 0 }
            .groupBy({ it.key }, { it.value })
            .mapValues { (_, values) -> values.max() }

    private fun Route.domain(): String = keyDomain ?: name
}
