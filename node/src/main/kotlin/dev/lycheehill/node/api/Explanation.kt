package dev.lycheehill.node.api

import dev.lycheehill.config.model.Route
import dev.lycheehill.fleet.membership.MemberRecord

/**
 * Answer of `GET /v1/explain`: where a request would go.
 *
 * @property route matching route of the highest rank; null when none matches.
 * @property targets members of the services that the route sends to.
 */
data class Explanation(
    val version: Long,
    val route: Route? = null,
    val targets: List<MemberRecord> = emptyList(),
)
