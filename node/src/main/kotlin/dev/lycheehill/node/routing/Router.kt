package dev.lycheehill.node.routing

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
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
        val table = tableOf(state.content)
        val host =
            call.headers
                .get(HttpHeaderNames.HOST)
                .orEmpty()
                .substringBefore(':')
        val route = table.match(host, call.path, call.method.name()) ?: return null
        val service = state.content.services[chooseService(route, random)] ?: return null
        return RouteDecision(state.version, route, service)
    }

    /** Returns all routes of [state] that match, in order of rank. */
    fun candidates(
        state: FoldState,
        host: String,
        path: String,
        method: String,
    ): List<Route> = tableOf(state.content).matches(host, path, method)

    private fun tableOf(content: ConfigContent): Compiled {
        val current = compiled
        if (current.content === content) return current
        return Compiled(content).also { compiled = it }
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
        private val ordered =
            content.routes.values.sortedWith(
                compareBy<Route> { it.host == "*" }
                    .thenByDescending { it.pathPrefix.length }
                    .thenBy { it.methods.isEmpty() }
                    .thenBy { it.name },
            )

        fun match(
            host: String,
            path: String,
            method: String,
        ): Route? = ordered.firstOrNull { accepts(it, host, path, method) }

        fun matches(
            host: String,
            path: String,
            method: String,
        ): List<Route> = ordered.filter { accepts(it, host, path, method) }

        private fun accepts(
            route: Route,
            host: String,
            path: String,
            method: String,
        ): Boolean =
            (route.host == "*" || route.host.equals(host, ignoreCase = true)) &&
                (route.methods.isEmpty() || method in route.methods) &&
                covers(route.pathPrefix, path)

        private fun covers(
            prefix: String,
            path: String,
        ): Boolean = path.startsWith(prefix) && (prefix.endsWith("/") || path.length == prefix.length || path[prefix.length] == '/')
    }
}
