package dev.lycheehill.node.http

import io.netty.util.concurrent.Future
import java.util.concurrent.ConcurrentHashMap

/** Open caller connections of one listening socket. Thread-safe. */
internal class ConnectionSet {
    private val openConnections: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()
    private val lingeringConnections: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var isDraining = false

    val size: Int get() = openConnections.size + lingeringConnections.size

    /** Whether no connection can carry a call or has a part of a response that the operating system has not accepted. */
    val isFlushed: Boolean get() = openConnections.isEmpty()

    /** Time at which a connection last began to linger or received input meanwhile, a value of [System.nanoTime]. */
    @Volatile
    var lastLingerNanos = System.nanoTime()
        private set

    val isEmpty: Boolean get() = openConnections.isEmpty() && lingeringConnections.isEmpty()

    fun add(connection: CallerConnection) {
        openConnections.add(connection)
        if (isDraining) connection.closeWhenIdle()
    }

    /** The operating system has accepted all responses of [connection], which only waits for its caller to close it. */
    fun onFlushed(connection: CallerConnection) {
        onLingeringInput()
        // Added first, so that the set never looks empty in between.
        lingeringConnections.add(connection)
        openConnections.remove(connection)
    }

    /** A lingering connection has received input. */
    fun onLingeringInput() {
        lastLingerNanos = System.nanoTime()
    }

    fun remove(connection: CallerConnection) {
        openConnections.remove(connection)
        lingeringConnections.remove(connection)
    }

    /** Closes each connection, and each one added later, as soon as it carries no call. */
    fun closeWhenIdle() {
        isDraining = true
        openConnections.forEach { it.closeWhenIdle() }
    }

    /** Returns the unfinished work of all connections. */
    fun openWork(): OpenWork {
        val open = openConnections.toList()
        return OpenWork(open.size + lingeringConnections.size, open.sumOf { it.openCallCount }, open.sumOf { it.unsentBytes })
    }

    /** Reports the calls without a complete response because the node ends. Returns one future for each connection that has any. */
    fun reportUnanswered(): List<Future<*>> = openConnections.filter { it.hasOpenWork }.map { it.reportUnanswered() }

    /** Closes all connections immediately. */
    fun closeNow() {
        openConnections.forEach { it.closeNow() }
        lingeringConnections.forEach { it.closeNow() }
    }
}
