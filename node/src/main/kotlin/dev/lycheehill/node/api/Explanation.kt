package dev.lycheehill.node.api

import dev.lycheehill.config.model.Route
import dev.lycheehill.fleet.membership.MemberRecord

/**
 * Response of `GET /v1/explain`: the route and the targets that a request would use.
 *
 * @property version configuration version that the explanation holds for.
 * @property route route that the request matches; null when no route matches.
 * @property targets members of the services to which the route sends calls.
 */
data class Explanation(
    val version: Long,
    val route: Route? = null,
    val targets: List<MemberRecord> = emptyList(),
)
