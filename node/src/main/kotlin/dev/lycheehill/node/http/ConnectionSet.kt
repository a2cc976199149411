package dev.lycheehill.node.http

import java.util.concurrent.ConcurrentHashMap

/** Open caller connections of one listening socket. Thread-safe. */
internal class ConnectionSet {
    private val openConnections: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var isDraining = false

    val size: Int get() = openConnections.size

    val isEmpty: Boolean get() = openConnections.isEmpty()

    fun add(connection: CallerConnection) {
        openConnections.add(connection)
        if (isDraining) connection.closeWhenIdle()
    }

    fun remove(connection: CallerConnection) {
        openConnections.remove(connection)
    }

    /** Closes each connection, and each one added later, as soon as it carries no call. */
    fun closeWhenIdle() {
        isDraining = true
        openConnections.forEach { it.closeWhenIdle() }
    }

    /** Closes all connections immediately. */
    fun closeNow() {
        openConnections.forEach { it.closeNow() }
    }
}
