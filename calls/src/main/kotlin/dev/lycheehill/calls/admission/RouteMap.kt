package dev.lycheehill.calls.admission

/**
 * Bounded map of values by route name. Not thread-safe.
 *
 * Removed routes are not reported to the map. All values are therefore removed when a route is added to a map that has more than
 * [MAX_ROUTES] routes.
 */
internal class RouteMap<V : Any> {
    private val values = HashMap<String, V>()

    operator fun get(route: String): V? = values[route]

    operator fun set(
        route: String,
        value: V,
    ) {
        if (route !in values) clearIfFull()
        values[route] = value
    }

    fun getOrPut(
        route: String,
        create: () -> V,
    ): V = values[route] ?: create().also { this[route] = it }

    private fun clearIfFull() {
        if (values.size > MAX_ROUTES) values.clear()
    }

    private companion object {
        const val MAX_ROUTES = 4_096
    }
}
