package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict
import java.util.PriorityQueue
import java.util.Random

/**
 * Discrete-event simulation of a key domain with five members. Callers send and repeat keyed requests through nodes with outdated
 * epochs, while members crash, pause, are partitioned and change epochs. Counts each run of a request at a backend server.
 */
internal class KeyDomainSimulation(
    seed: Long,
    private val faults: KeyFaults,
) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private var nowMs = 0L
    private val members =
        List(MEMBERS) {
            SimulatedMember("n$it", 0.99 + random.nextDouble() * 0.02, random.nextInt(2_001) - 1_000L, faults.settings)
        }
    private val log = ArrayList<HomeEpoch>()
    private val weights = members.associate { it.id to 1 }.toMutableMap()

    /** Number of runs by key. */
    val runs = HashMap<String, Int>()

    /** Keys of requests that begin long after the faults have ended. */
    val lateKeys = HashSet<String>()

    /** Number of responses that state a run although the request has not run. */
    var falseAnswers = 0
        private set
    val keys = ArrayList<String>()

    fun run(): KeyDomainSimulation {
        log += HomeEpoch(DOMAIN, 1, members.take(3 + random.nextInt(3)).map { HomeMember(it.id, it.bootId) })
        members.forEach { member -> schedulePeriodic(100) { whenAlive(member) { tick(member) } } }
        scheduleFault(faults.crashEveryMs, ::crash)
        scheduleFault(faults.pauseEveryMs) { randomMember().pausedUntilMs = nowMs + random.nextInt(8_000) }
        scheduleFault(faults.partitionEveryMs) { members.forEach { it.group = random.nextInt(2) } }
        if (faults.partitionEveryMs > 0) scheduleFault(faults.partitionEveryMs) { members.forEach { it.group = 0 } }
        scheduleFault(faults.epochEveryMs) { weights[randomMember().id] = random.nextInt(4) }
        repeat(KEYS) { request(random.nextInt(HEAL_MS).toLong()) }
        schedule(HEAL_MS.toLong()) { members.forEach { it.heal(nowMs) } }
        repeat(LATE_KEYS) { schedule(LATE_MS + random.nextInt(2_000)) { lateRequest() } }
        while (events.isNotEmpty()) {
            val event = events.poll()
            if (event.atMs > END_MS) break
            nowMs = event.atMs
            event.action()
        }
        return this
    }

    private fun tick(member: SimulatedMember) {
        // Members in group 1 do not reach the log either.
        if (member.group == 0) {
            if (random.nextDouble() < faults.skippedEpochs) member.seenEpochs = maxOf(member.seenEpochs, log.size - 1)
            while (member.seenEpochs < log.size && random.nextInt(4) > 0) {
                member.requests.onEpoch(log[member.seenEpochs++], member.nowNanos(nowMs))
            }
            propose(member)
        }
        for ((request, receivers) in member.requests.nextRequests(member.nowNanos(nowMs), member.wallMs(nowMs))) {
            for (receiver in receivers) ask(member, members.first { it.id == receiver }, request)
        }
        member.requests
            .handOvers(member.nowNanos(nowMs))
            .groupBy { it.epoch to it.to }
            .values
            .forEach { handOver(member, it) }
    }

    private fun ask(
        member: SimulatedMember,
        receiver: SimulatedMember,
        request: VoucherRequest,
    ) = send(member, receiver) {
        val reply = receiver.requests.onRequest(request)
        send(receiver, member) { member.requests.onReply(reply, member.nowNanos(nowMs)) }
    }

    private fun handOver(
        from: SimulatedMember,
        parts: List<HandOverPart>,
    ) {
        val receiver = members.first { it.id == parts.first().to.id }
        send(from, receiver) {
            val taken = parts.all { receiver.requests.onHandOver(it) }
            if (taken) send(receiver, from) { from.requests.onHandOverConfirmed(parts.first()) }
        }
    }

    private fun propose(member: SimulatedMember) {
        val last = log.last()
        if (member.seenEpochs != log.size || random.nextInt(10) > 0) return
        if (!faults.proposeUnsealed && !member.requests.mayPropose(DOMAIN, last.number)) return
        val live = members.filter { it.isUp && it.pausedUntilMs <= nowMs && it.group == 0 }
        val next = live.filter { weights[it.id] != 0 }.map { HomeMember(it.id, it.bootId, weights.getValue(it.id)) }
        if (next.isEmpty() || next == last.members) return
        log += HomeEpoch(DOMAIN, last.number + 1, next, last.members)
    }

    private fun crash() {
        val member = randomMember().takeIf { it.isUp } ?: return
        member.isUp = false
        schedule(nowMs + random.nextInt(4_000)) { member.restart(nowMs, faults.sameBootAfterCrash) }
    }

    private fun request(startMs: Long) {
        val minted = SimulatedMember.WALL_MS + startMs + random.nextInt(2 * faults.clientSkewMs + 1) - faults.clientSkewMs
        val tail = "-8000-%012x".format(keys.size)
        val key = if (random.nextInt(3) > 0) uuid(minted, tail) else "key$tail"
        keys += key
        schedule(startMs) { attempt(key, attemptsLeft = 40) }
        // Some callers send the same request twice concurrently, through different nodes.
        if (random.nextInt(3) == 0) schedule(startMs + random.nextInt(6_000)) { attempt(key, attemptsLeft = 10) }
    }

    private fun lateRequest() {
        val key = uuid(SimulatedMember.WALL_MS + nowMs, "-9000-%012x".format(lateKeys.size))
        lateKeys += key
        attempt(key, attemptsLeft = 40)
    }

    private fun uuid(
        timeMs: Long,
        tail: String,
    ): String = "%012x".format(timeMs).let { "${it.take(8)}-${it.drop(8)}-7000$tail" }

    private fun attempt(
        key: String,
        attemptsLeft: Int,
    ) {
        if (attemptsLeft == 0) return
        var isOver = false
        val retry = { waitMs: Long ->
            if (!isOver) schedule(nowMs + waitMs) { attempt(key, attemptsLeft - 1) }
            isOver = true
        }
        val view = log[maxOf(0, log.size - 1 - random.nextInt(3) * random.nextInt(2))]
        val home = view.homeOf(KeyHash.of(DOMAIN, key))?.id
        val member = if (random.nextInt(5) == 0) randomMember() else members.firstOrNull { it.id == home } ?: randomMember()
        val boot = member.bootId
        schedule(nowMs + delayMs()) {
            whenAlive(member, boot) {
                when (val decision = member.requests.begin(DOMAIN, key, member.nowNanos(nowMs), member.wallMs(nowMs))) {
                    is KeyDecision.Execute -> execute(member, boot, key, decision.token, retry)
                    is KeyDecision.Replay -> checkRan(key, ran = true)
                    is KeyDecision.Refuse -> onRefused(key, decision, retry)
                }
            }
        }
        // The response is lost or late.
        if (faults.loss > 0 && nowMs < HEAL_MS) schedule(nowMs + 200 + random.nextInt(2_000)) { retry(random.nextInt(2_000).toLong()) }
    }

    private fun onRefused(
        key: String,
        refusal: KeyDecision.Refuse,
        retry: (Long) -> Unit,
    ) {
        if (refusal.verdict == Verdict.RAN) checkRan(key, ran = true)
        if (refusal.verdict == Verdict.NOT_RUN) retry(maxOf(refusal.retryAfterMs ?: 0, 50L))
    }

    // Time passes between the decision and the write to the backend server, so that a pause or a crash can happen in between.
    private fun execute(
        member: SimulatedMember,
        boot: Long,
        key: String,
        token: KeyToken,
        retry: (Long) -> Unit,
    ) = schedule(nowMs + random.nextInt(30)) {
        whenAlive(member, boot) {
            val outcome = random.nextDouble()
            val verdict = if (outcome < faults.failedAttempts && nowMs < HEAL_MS) Verdict.entries[random.nextInt(3)] else Verdict.RAN
            if (verdict == Verdict.RAN || verdict == Verdict.MAY_HAVE_RUN && random.nextBoolean()) runs.merge(key, 1, Int::plus)
            schedule(nowMs + random.nextInt(40)) {
                whenAlive(member, boot) {
                    member.requests.finish(token, verdict, member.wallMs(nowMs), byteArrayOf(1).takeIf { random.nextBoolean() })
                    if (verdict != Verdict.RAN) retry(50)
                }
            }
        }
    }

    private fun checkRan(
        key: String,
        ran: Boolean,
    ) {
        if (ran && key !in runs) falseAnswers++
    }

    private fun send(
        from: SimulatedMember,
        to: SimulatedMember,
        action: () -> Unit,
    ) {
        if (from.group != to.group || nowMs < HEAL_MS && random.nextDouble() < faults.loss) return
        val boot = to.bootId
        schedule(nowMs + delayMs()) { whenAlive(to, boot, action) }
    }

    private fun delayMs(): Long =
        if (nowMs < HEAL_MS &&
            random.nextDouble() < faults.slowMessages
        ) {
            random.nextInt(5_000).toLong()
        } else {
            1L + random.nextInt(10)
        }

    // A paused process runs the action when it continues. A process that has crashed since never runs the action.
    private fun whenAlive(
        member: SimulatedMember,
        boot: Long = member.bootId,
        action: () -> Unit,
    ) {
        when {
            !member.isUp || member.bootId != boot -> Unit
            member.pausedUntilMs > nowMs -> schedule(member.pausedUntilMs) { whenAlive(member, boot, action) }
            else -> action()
        }
    }

    private fun randomMember() = members[random.nextInt(MEMBERS)]

    private fun scheduleFault(
        everyMs: Int,
        action: () -> Unit,
    ) {
        if (everyMs == 0 || nowMs >= HEAL_MS) return
        schedule(nowMs + 1 + random.nextInt(2 * everyMs)) {
            if (nowMs < HEAL_MS) action()
            scheduleFault(everyMs, action)
        }
    }

    private fun schedulePeriodic(
        periodMs: Long,
        action: () -> Unit,
    ) {
        schedule(nowMs + periodMs) {
            action()
            schedulePeriodic(periodMs, action)
        }
    }

    private fun schedule(
        atMs: Long,
        action: () -> Unit,
    ) {
        events += Event(atMs, order++, action)
    }

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val DOMAIN = "orders"
        const val MEMBERS = 5
        const val KEYS = 40
        const val HEAL_MS = 25_000

        // Late requests start after the recovery from faults, which end at 25 s: a restart takes up to 4 s, a new epoch 2 s, its
        // activation 3.5 s and its bound 3 s.
        const val LATE_MS = 42_000L
        const val LATE_KEYS = 10
        const val END_MS = 50_000L
    }
}
