package dev.lycheehill.node.keys

import dev.lycheehill.config.home.HomeAssignment
import dev.lycheehill.config.home.HomeLimits
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.core.hash.Rendezvous
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** Computes the homes that a key domain should have. Pure; equal input gives equal homes on every node. */
internal object HomePlanner {
    // Leaves room for the division of a service's weight among its targets.
    private const val WEIGHT_UNIT = 1_000

    /**
     * Returns the homes of [domain]: the live targets of the services that its routes send to, each with its part of the
     * service's weight. A suspected member stays, because its state often changes back.
     */
    fun plan(
        domain: String,
        content: ConfigContent,
        members: Collection<MemberRecord>,
    ): List<HomeAssignment> {
        val weights = weightsOf(domain, content)
        val live = members.filter { it.service in weights && (it.state == MemberState.READY || it.state == MemberState.SUSPECT) }
        val targets = live.groupingBy { it.service }.eachCount()
        val planned =
            live.associate { member ->
                val weight = weights.getValue(member.service) * WEIGHT_UNIT / targets.getValue(member.service)
                member.nodeId to HomeAssignment(member.nodeId, member.bootId, if (weights.size == 1) 1 else maxOf(1, weight))
            }
        return Rendezvous.rank(domain, planned.keys).take(HomeLimits.MEMBERS).map(planned::getValue)
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
