package dev.lycheehill.config.route

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route

/**
 * Immutable table that finds the route of a request. One table is built for each version of the configuration.
 *
 * A path prefix that ends with a slash matches every path that begins with the prefix. Any other path prefix matches only
 * at the boundary of a path segment: `/a` matches `/a` and `/a/b`, but not `/ab`.
 *
 * Several matching routes are ordered by these criteria: an exact host before `*`, a longer path prefix before a shorter one,
 * a route that names methods before a route that accepts any method, and the names in alphabetical order.
 */
class RouteTable private constructor(
    private val byHost: Map<String, Map<String, List<Route>>>,
) {
    /**
     * Returns the first matching route, or null when no route matches.
     *
     * @param host host of the request, in upper or lower case, with or without a port.
     * @param path path of the request, with or without a query.
     * @param method method of the request, in upper case.
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

    // Returns the prefixes of a path that end at a segment boundary, the longest first: /a/b, /a/, /a, /. The prefix
    // with the final slash, /a/, is not a prefix of the path /a itself.
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
        private val byMethodsAndName = compareBy<Route> { it.methods.isEmpty() }.thenBy { it.name }

        /** Builds the table of the routes in [content]. */
        fun of(content: ConfigContent): RouteTable =
            RouteTable(
                content.routes.values.groupBy { it.host }.mapValues { (_, routes) ->
                    routes.groupBy { it.pathPrefix }.mapValues { (_, samePrefix) -> samePrefix.sortedWith(byMethodsAndName) }
                },
            )
    }
}
