package dev.lycheehill.standins.backend

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.Random
import java.util.concurrent.TimeUnit

/**
 * Runs the calls of a [BackendStandIn] in a limited number of slots, with a queue for the calls that wait.
 *
 * Confined to one event loop, except for the volatile properties.
 */
internal class BackendCallExecutor(
    private val settings: BackendSettings,
    private val runs: RunCounter,
    private val eventLoop: EventLoop,
    private val onCrash: () -> Unit,
) {
    private val random = Random(settings.seed)
    private val queue = ArrayDeque<BackendCall>()
    private val connections = HashSet<Channel>()
    private val startedNanos = System.nanoTime()

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
            call.path == LOAD_PATH -> BackendResponder.sendText(call, HttpResponseStatus.OK, "$reportedInFlight")
            isDraining -> refuse(call, "draining")
            running < settings.slots -> start(call)
            queue.size >= settings.maxQueue -> refuse(call, "overloaded")
            else -> queue.addLast(call)
        }
    }

    fun cancel(call: BackendCall) {
        when (call.state) {
            BackendCall.State.WAITING -> queue.remove(call)
            BackendCall.State.RUNNING -> {
                call.timer?.cancel(false)
                runs.recordCancellation(call.key)
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
        BackendResponder.sendText(call, HttpResponseStatus.SERVICE_UNAVAILABLE, text)
    }

    private fun start(call: BackendCall) {
        val remainingNanos = call.remainingNanos()
        if (remainingNanos != null && remainingNanos <= 0) {
            call.state = BackendCall.State.DONE
            BackendResponder.sendText(call, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
            return
        }
        call.state = BackendCall.State.RUNNING
        adjustRunning(1)
        runs.recordStart(call.key)
        if (call.isCrashRequest) {
            onCrash()
            return
        }
        val delayNanos = serviceTimeNanos(call)
        if (delayNanos == 0L) finish(call) else call.timer = eventLoop.schedule({ finish(call) }, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun finish(call: BackendCall) {
        runs.recordFinish(call.key)
        call.state = BackendCall.State.DONE
        BackendResponder.respond(call, fault)
        release(call)
    }

    private fun release(call: BackendCall) {
        call.state = BackendCall.State.DONE
        adjustRunning(-1)
        while (running < settings.slots) start(queue.removeFirstOrNull() ?: break)
    }

    private fun adjustRunning(by: Int) {
        running += by
        val now = running
        if (settings.loadLagMs == 0L) {
            reportedInFlight = now
        } else {
            eventLoop.schedule({ reportedInFlight = now }, settings.loadLagMs, TimeUnit.MILLISECONDS)
        }
    }

    private fun serviceTimeNanos(call: BackendCall): Long {
        val sampledNanos = (if (call.isLong) settings.longCalls else settings.shortCalls).sampleNanos(random)
        return (sampledNanos * slowFactor * coldFactor()).toLong()
    }

    private fun coldFactor(): Double {
        val ageMs = (System.nanoTime() - startedNanos) / 1_000_000
        return if (ageMs < settings.coldStartMs) settings.coldFactor else 1.0
    }

    private companion object {
        const val LOAD_PATH = "/load"
    }
}
