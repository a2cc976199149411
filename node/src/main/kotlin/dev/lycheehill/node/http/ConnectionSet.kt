package dev.lycheehill.node.http

import java.util.concurrent.ConcurrentHashMap

/** Open caller connections of one listener. Thread-safe. */
internal class ConnectionSet {
    private val open: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var draining = false

    val size: Int get() = open.size

    val isEmpty: Boolean get() = open.isEmpty()

    fun add(connection: CallerConnection) {
        open.add(connection)
        if (draining) connection.closeWhenIdle()
    }

    fun remove(connection: CallerConnection) {
        open.remove(connection)
    }

    /** Closes each connection as soon as it carries no call. */
    fun closeWhenIdle() {
        draining = true
        open.forEach { it.closeWhenIdle() }
    }

    /** Closes all connections at once. */
    fun closeNow() {
        open.forEach { it.closeNow() }
    }
}
