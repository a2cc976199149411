package dev.lycheehill.node.api

import dev.lycheehill.fleet.FleetView
import dev.lycheehill.node.routing.Router
import io.netty.handler.codec.http.HttpMethod

/** Endpoints that show this node's view of the configuration and the fleet, and explain which route a request would take. */
internal class ShowEndpoints(
    private val fleet: FleetView,
    private val router: Router,
) {
    fun all(): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.GET, "/v1/show/services") { services() },
            ApiEndpoint(HttpMethod.GET, "/v1/show/routes") { routes() },
            ApiEndpoint(HttpMethod.GET, "/v1/show/targets") { targets(it.query["service"]) },
            ApiEndpoint(HttpMethod.GET, "/v1/show/versions") { versions() },
            ApiEndpoint(HttpMethod.GET, "/v1/explain") { explain(it.query) },
        )

    private fun services(): ApiResponse {
        val counts =
            fleet
                .members()
                .values
                .groupingBy { it.service }
                .eachCount()
        val services =
            fleet
                .foldState()
                .content.services.values
                .sortedBy { it.name }
        return ApiResponse.json(services.map { ServiceView(it, counts[it.name] ?: 0) })
    }

    private fun routes(): ApiResponse =
        ApiResponse.json(
            fleet
                .foldState()
                .content.routes.values
                .sortedBy { it.name },
        )

    private fun targets(service: String?): ApiResponse {
        val members = fleet.members().values.filter { it.service.isNotEmpty() && (service == null || it.service == service) }
        return ApiResponse.json(members.sortedWith(compareBy({ it.service }, { it.nodeId })))
    }

    private fun versions(): ApiResponse {
        val recent =
            fleet
                .foldState()
                .history.entries
                .sortedByDescending { it.key }
                .take(MAX_SHOWN_VERSIONS)
        return ApiResponse.json(recent.map { VersionView(it.key, it.value) })
    }

    private fun explain(query: Map<String, String>): ApiResponse {
        val path = query["path"] ?: return ApiResponse.error(400, "query parameter path is missing")
        val state = fleet.foldState()
        val route =
            router.match(state, query["host"].orEmpty(), path, query["method"] ?: "GET")
                ?: return ApiResponse.json(Explanation(state.version))
        val services = route.weights.filterValues { it > 0 }.keys
        val targets =
            fleet
                .members()
                .values
                .filter { it.service in services }
                .sortedBy { it.nodeId }
        return ApiResponse.json(Explanation(state.version, route, targets))
    }

    private companion object {
        const val MAX_SHOWN_VERSIONS = 100
    }
}
