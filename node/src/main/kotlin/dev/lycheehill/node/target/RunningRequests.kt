package dev.lycheehill.node.target

import java.util.concurrent.ConcurrentHashMap

/** Set of the ids of the requests that the backend server beside this node is running. Thread-safe. */
internal class RunningRequests {
    private val requestIds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun started(requestId: String) {
        requestIds.add(requestId)
    }

    fun ended(requestId: String) {
        requestIds.remove(requestId)
    }

    /** Whether the backend server is running the request with [requestId]. */
    operator fun contains(requestId: String): Boolean = requestId in requestIds
}
