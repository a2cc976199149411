package dev.lycheehill.config.route

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route

/**
 * Finds the route of a request. Immutable; built once for each version.
 *
 * A path prefix that ends with a slash matches the paths that begin with it; any other one ends on a segment boundary.
 *
 * Matching routes are ordered: an exact host before `*`, then the longest path prefix, then a route with methods before
 * one without, then by name.
 */
class RouteTable private constructor(
    private val byHost: Map<String, Map<String, List<Route>>>,
) {
    /**
     * Returns the first matching route, or null.
     *
     * @param host host of the request in any case, with or without a port.
     * @param path path of the request, with or without a query.
     */
    fun match(
        host: String,
        path: String,
        method: String,
    ): Route? {
        val prefixes = prefixesOf(path.substringBefore('?'))
        return find(HostName.of(host), prefixes, method) ?: find(ANY_HOST, prefixes, method)
    }

    private fun find(
        host: String,
        prefixes: Sequence<String>,
        method: String,
    ): Route? {
        val byPrefix = byHost[host] ?: return null
        return prefixes.firstNotNullOfOrNull { prefix ->
            byPrefix[prefix]?.firstOrNull { it.methods.isEmpty() || method in it.methods }
        }
    }

    // The prefixes of a path on segment boundaries, longest first: /a/b, /a/, /a, /. A prefix that ends with a slash
    // matches only paths below it.
    private fun prefixesOf(path: String): Sequence<String> =
        generateSequence(path) { prefix ->
            val slash = prefix.lastIndexOf('/')
            when {
                slash < 0 || prefix.length == 1 -> null
                slash < prefix.length - 1 -> prefix.substring(0, slash + 1)
                else -> prefix.substring(0, slash)
            }
        }

    companion object {
        private const val ANY_HOST = "*"
        private val withinPrefix = compareBy<Route> { it.methods.isEmpty() }.thenBy { it.name }

        /** Builds the table of [content]. */
        fun of(content: ConfigContent): RouteTable =
            RouteTable(
                content.routes.values.groupBy { it.host }.mapValues { (_, routes) ->
                    routes.groupBy { it.pathPrefix }.mapValues { (_, same) -> same.sortedWith(withinPrefix) }
                },
            )
    }
}
