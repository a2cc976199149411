package dev.lycheehill.standins.backend

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.Random
import java.util.concurrent.TimeUnit

/** Runs calls in a limited number of slots. Used on one event loop only, but for the switches. */
internal class BackendCallExecutor(
    private val settings: BackendSettings,
    private val runs: RunCounter,
    private val eventLoop: EventLoop,
    private val onCrash: () -> Unit,
) {
    private val random = Random(settings.seed)
    private val waiting = ArrayDeque<BackendCall>()
    private val connections = HashSet<Channel>()
    private val startNanos = System.nanoTime()

    @Volatile
    var running = 0
        private set

    @Volatile
    var reportedInFlight = 0
        private set

    @Volatile
    var fault = BackendFault.NONE

    @Volatile
    var slowFactor = 1.0

    @Volatile
    var isDraining = false

    fun onConnectionOpened(channel: Channel) {
        connections.add(channel)
    }

    fun onConnectionClosed(channel: Channel) {
        connections.remove(channel)
    }

    fun closeConnections() = connections.toList().forEach { it.close() }

    fun accept(call: BackendCall) {
        when {
            call.path == LOAD_PATH -> BackendResponder.refuse(call, HttpResponseStatus.OK, "$reportedInFlight")
            isDraining -> refuse(call, "draining")
            running < settings.slots -> start(call)
            waiting.size >= settings.maxQueue -> refuse(call, "overloaded")
            else -> waiting.addLast(call)
        }
    }

    fun cancel(call: BackendCall) {
        when (call.state) {
            BackendCall.State.WAITING -> waiting.remove(call)
            BackendCall.State.RUNNING -> {
                call.timer?.cancel(false)
                runs.cancelled(call.key)
                release(call)
            }
            BackendCall.State.DONE -> Unit
        }
        call.state = BackendCall.State.DONE
    }

    private fun refuse(
        call: BackendCall,
        text: String,
    ) {
        call.state = BackendCall.State.DONE
        BackendResponder.refuse(call, HttpResponseStatus.SERVICE_UNAVAILABLE, text)
    }

    private fun start(call: BackendCall) {
        val remainingNanos = call.remainingNanos()
        if (remainingNanos != null && remainingNanos <= 0) {
            call.state = BackendCall.State.DONE
            BackendResponder.refuse(call, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
            return
        }
        call.state = BackendCall.State.RUNNING
        changeRunning(1)
        runs.started(call.key)
        if (call.crashes) {
            onCrash()
            return
        }
        val delayNanos = serviceNanos(call)
        if (delayNanos == 0L) finish(call) else call.timer = eventLoop.schedule({ finish(call) }, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun finish(call: BackendCall) {
        runs.finished(call.key)
        call.state = BackendCall.State.DONE
        BackendResponder.respond(call, fault)
        release(call)
    }

    private fun release(call: BackendCall) {
        call.state = BackendCall.State.DONE
        changeRunning(-1)
        while (running < settings.slots) start(waiting.removeFirstOrNull() ?: break)
    }

    private fun changeRunning(by: Int) {
        running += by
        val now = running
        if (settings.loadLagMs == 0L) {
            reportedInFlight = now
        } else {
            eventLoop.schedule({ reportedInFlight = now }, settings.loadLagMs, TimeUnit.MILLISECONDS)
        }
    }

    private fun serviceNanos(call: BackendCall): Long {
        val base = (if (call.isLong) settings.longCalls else settings.shortCalls).sampleNanos(random)
        return (base * slowFactor * coldFactor()).toLong()
    }

    private fun coldFactor(): Double {
        val ageMs = (System.nanoTime() - startNanos) / 1_000_000
        return if (ageMs < settings.coldStartMs) settings.coldFactor else 1.0
    }

    private companion object {
        const val LOAD_PATH = "/load"
    }
}
