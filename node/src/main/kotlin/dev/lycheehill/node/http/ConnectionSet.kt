package dev.lycheehill.node.http

import io.netty.util.concurrent.Future
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

    /** Returns the unfinished work of all connections. */
    fun openWork(): OpenWork {
        val open = openConnections.toList()
        return OpenWork(open.size, open.sumOf { it.openCallCount }, open.sumOf { it.unsentBytes })
    }

    /** Reports the calls without a complete response because the node ends. Returns one future for each connection that has any. */
    fun reportUnanswered(): List<Future<*>> = openConnections.filter { it.hasOpenWork }.map { it.reportUnanswered() }

    /** Closes all connections immediately. */
    fun closeNow() {
        openConnections.forEach { it.closeNow() }
    }
}
