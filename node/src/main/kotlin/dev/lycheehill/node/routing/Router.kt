package dev.lycheehill.node.routing

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.route.RouteTable
import dev.lycheehill.node.http.InboundCall
import io.netty.handler.codec.http.HttpHeaderNames
import java.util.SplittableRandom

/** Matches calls against the routes of a configuration. Thread-safe. */
internal class Router {
    @Volatile
    private var compiledRoutes = CompiledRoutes(ConfigContent())

    /**
     * Returns the route and the service of [call] in [state], or null if no route matches. If the route splits its calls among
     * several services, [random] chooses one by weight.
     */
    fun decide(
        state: FoldState,
        call: InboundCall,
        random: SplittableRandom,
    ): RouteDecision? {
        val route = routeOf(state, call) ?: return null
        val service = state.content.services[chooseService(route, random)] ?: return null
        return RouteDecision(state.version, route, service)
    }

    /** Whether [call] matches a route in [state] and may run more than once on that route. */
    fun isIdempotent(
        state: FoldState,
        call: InboundCall,
    ): Boolean = routeOf(state, call)?.isIdempotent(call.method.name()) ?: false

    /** Returns the route in [state] that matches a request with [host], [path] and [method], or null if none does. */
    fun match(
        state: FoldState,
        host: String,
        path: String,
        method: String,
    ): Route? = tableOf(state.content).match(host, path, method)

    private fun routeOf(
        state: FoldState,
        call: InboundCall,
    ): Route? {
        val host =
            call.headers
                .get(HttpHeaderNames.HOST)
                .orEmpty()
                .substringBefore(':')
        return tableOf(state.content).match(host, call.path, call.method.name())
    }

    private fun tableOf(content: ConfigContent): RouteTable {
        val current = compiledRoutes
        if (current.content === content) return current.table
        return CompiledRoutes(content).also { compiledRoutes = it }.table
    }

    private fun chooseService(
        route: Route,
        random: SplittableRandom,
    ): String {
        if (route.weights.size == 1) return route.weights.keys.first()
        var remaining = random.nextInt(route.weights.values.sum())
        return route.weights.entries
            .first { (_, weight) ->
                remaining -= weight
                remaining < 0
            }.key
    }

    private class CompiledRoutes(
        val content: ConfigContent,
    ) {
        val table: RouteTable = RouteTable.of(content)
    }
}
