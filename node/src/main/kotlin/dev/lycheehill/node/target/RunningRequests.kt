package dev.lycheehill.node.target

import java.util.concurrent.ConcurrentHashMap

/** Routes of the requests that the backend server beside this node is running, by name of the request. Thread-safe. */
internal class RunningRequests {
    private val routes = ConcurrentHashMap<String, String>()

    fun started(
        name: String,
        route: String,
    ) {
        routes[name] = route
    }

    fun ended(name: String) {
        routes.remove(name)
    }

    /** Returns the route of the running request [name], or null when there is none. */
    fun routeOf(name: String): String? = routes[name]
}
