package dev.lycheehill.node.routing

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.route.RouteTable
import dev.lycheehill.node.http.InboundCall
import io.netty.handler.codec.http.HttpHeaderNames
import java.util.SplittableRandom

/** Matches calls with the routes of a configuration version. Thread-safe. */
internal class Router {
    @Volatile
    private var compiled = Compiled(ConfigContent())

    /** Returns the route and service of [call] in [state], or null when no route matches. */
    fun decide(
        state: FoldState,
        call: InboundCall,
        random: SplittableRandom,
    ): RouteDecision? {
        val route = routeOf(state, call) ?: return null
        val service = state.content.services[chooseService(route, random)] ?: return null
        return RouteDecision(state.version, route, service)
    }

    /** Whether [call] has a route in [state] on which it may run more than once. */
    fun isIdempotent(
        state: FoldState,
        call: InboundCall,
    ): Boolean = routeOf(state, call)?.isIdempotent(call.method.name()) ?: false

    /** Returns the route of a request in [state], or null when none matches. */
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
        val current = compiled
        if (current.content === content) return current.table
        return Compiled(content).also { compiled = it }.table
    }

    private fun chooseService(
        route: Route,
        random: SplittableRandom,
    ): String {
        if (route.weights.size == 1) return route.weights.keys.first()
        var left = random.nextInt(route.weights.values.sum())
        return route.weights.entries
            .first { (_, weight) ->
                left -= weight
                left < 0
            }.key
    }

    private class Compiled(
        val content: ConfigContent,
    ) {
        val table: RouteTable = RouteTable.of(content)
    }
}
