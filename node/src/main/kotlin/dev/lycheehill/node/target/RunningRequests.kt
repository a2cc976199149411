package dev.lycheehill.node.target

import java.util.concurrent.ConcurrentHashMap

/** Names of the requests that the backend server beside this node is running. Thread-safe. */
internal class RunningRequests {
    private val names: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun started(name: String) {
        names.add(name)
    }

    fun ended(name: String) {
        names.remove(name)
    }

    /** Whether the request [name] is running. */
    operator fun contains(name: String): Boolean = name in names
}
