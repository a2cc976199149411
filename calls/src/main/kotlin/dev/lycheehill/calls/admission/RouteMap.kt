package dev.lycheehill.calls.admission

/**
 * Values by name of a route. Removed routes are not reported, so the map is emptied when it has grown past any usual number
 * of routes. Not thread-safe.
 */
internal class RouteMap<V : Any> {
    private val values = HashMap<String, V>()

    operator fun get(route: String): V? = values[route]

    operator fun set(
        route: String,
        value: V,
    ) {
        if (route !in values) makeRoom()
        values[route] = value
    }

    fun getOrPut(
        route: String,
        create: () -> V,
    ): V = values[route] ?: create().also { this[route] = it }

    private fun makeRoom() {
        if (values.size > MAX_ROUTES) values.clear()
    }

    private companion object {
        const val MAX_ROUTES = 4_096
    }
}
