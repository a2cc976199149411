package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict
import java.util.PriorityQueue
import java.util.Random

/**
 * One simulated history of a key domain over five members: keyed requests are sent and sent again through nodes with old
 * views while members crash, pause, are cut off and change their epochs. Records each run of a backend server.
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
    private val wanted = members.associate { it.id to 1 }.toMutableMap()

    /** Runs by key. */
    val runs = HashMap<String, Int>()

    /** Keys of requests that begin long after the faults have ended. */
    val lateKeys = HashSet<String>()

    /** Statements to a caller that the runs contradict. */
    var falseAnswers = 0
        private set
    val keys = ArrayList<String>()

    fun play(): KeyDomainSimulation {
        log += HomeEpoch(DOMAIN, 1, members.take(3 + random.nextInt(3)).map { HomeMember(it.id, it.bootId) })
        members.forEach { member -> every(100) { alive(member) { tick(member) } } }
        occur(faults.crashEveryMs, ::crash)
        occur(faults.pauseEveryMs) { any().pausedUntilMs = nowMs + random.nextInt(8_000) }
        occur(faults.partitionEveryMs) { members.forEach { it.group = random.nextInt(2) } }
        if (faults.partitionEveryMs > 0) occur(faults.partitionEveryMs) { members.forEach { it.group = 0 } }
        occur(faults.epochEveryMs) { wanted[any().id] = random.nextInt(4) }
        repeat(KEYS) { request(random.nextInt(HEAL_MS).toLong()) }
        at(HEAL_MS.toLong()) { members.forEach { it.heal(nowMs) } }
        repeat(LATE_KEYS) { at(LATE_MS + random.nextInt(2_000)) { lateRequest() } }
        while (events.isNotEmpty()) {
            val event = events.poll()
            if (event.atMs > END_MS) break
            nowMs = event.atMs
            event.action()
        }
        return this
    }

    private fun tick(member: SimulatedMember) {
        // Group 1 is cut off from the log as well.
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
            if (taken) send(receiver, from) { from.requests.onHandOverTaken(parts.first()) }
        }
    }

    private fun propose(member: SimulatedMember) {
        val last = log.last()
        if (member.seenEpochs != log.size || random.nextInt(10) > 0) return
        if (!faults.proposeUnsealed && !member.requests.mayPropose(DOMAIN, last.number)) return
        val live = members.filter { it.isUp && it.pausedUntilMs <= nowMs && it.group == 0 }
        val next = live.filter { wanted[it.id] != 0 }.map { HomeMember(it.id, it.bootId, wanted.getValue(it.id)) }
        if (next.isEmpty() || next == last.members) return
        log += HomeEpoch(DOMAIN, last.number + 1, next, last.members)
    }

    private fun crash() {
        val member = any().takeIf { it.isUp } ?: return
        member.isUp = false
        at(nowMs + random.nextInt(4_000)) { member.restart(nowMs, faults.sameBootAfterCrash) }
    }

    private fun request(startMs: Long) {
        val minted = SimulatedMember.WALL_MS + startMs + random.nextInt(2 * faults.clientSkewMs + 1) - faults.clientSkewMs
        val tail = "-8000-%012x".format(keys.size)
        val key = if (random.nextInt(3) > 0) uuid(minted, tail) else "key$tail"
        keys += key
        at(startMs) { attempt(key, attemptsLeft = 40) }
        // Some callers send the same request twice at once, through different nodes.
        if (random.nextInt(3) == 0) at(startMs + random.nextInt(6_000)) { attempt(key, attemptsLeft = 10) }
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
            if (!isOver) at(nowMs + waitMs) { attempt(key, attemptsLeft - 1) }
            isOver = true
        }
        val view = log[maxOf(0, log.size - 1 - random.nextInt(3) * random.nextInt(2))]
        val home = view.homeOf(KeyHash.of(DOMAIN, key))?.id
        val member = if (random.nextInt(5) == 0) any() else members.firstOrNull { it.id == home } ?: any()
        val boot = member.bootId
        at(nowMs + delayMs()) {
            alive(member, boot) {
                when (val decision = member.requests.begin(DOMAIN, key, member.nowNanos(nowMs), member.wallMs(nowMs))) {
                    is KeyDecision.Execute -> execute(member, boot, key, decision.token, retry)
                    is KeyDecision.Replay -> check(key, ran = true)
                    is KeyDecision.Refuse -> refused(key, decision, retry)
                }
            }
        }
        // The answer is lost, or late.
        if (faults.loss > 0 && nowMs < HEAL_MS) at(nowMs + 200 + random.nextInt(2_000)) { retry(random.nextInt(2_000).toLong()) }
    }

    private fun refused(
        key: String,
        refusal: KeyDecision.Refuse,
        retry: (Long) -> Unit,
    ) {
        if (refusal.verdict == Verdict.RAN) check(key, ran = true)
        if (refusal.verdict == Verdict.NOT_RUN) retry(maxOf(refusal.retryAfterMs ?: 0, 50L))
    }

    // The check and the write to the backend server are apart, so that a pause or a crash can fall between them.
    private fun execute(
        member: SimulatedMember,
        boot: Long,
        key: String,
        token: KeyToken,
        retry: (Long) -> Unit,
    ) = at(nowMs + random.nextInt(30)) {
        alive(member, boot) {
            val outcome = random.nextDouble()
            val verdict = if (outcome < faults.failedAttempts && nowMs < HEAL_MS) Verdict.entries[random.nextInt(3)] else Verdict.RAN
            if (verdict == Verdict.RAN || verdict == Verdict.MAY_HAVE_RUN && random.nextBoolean()) runs.merge(key, 1, Int::plus)
            at(nowMs + random.nextInt(40)) {
                alive(member, boot) {
                    member.requests.finish(token, verdict, member.wallMs(nowMs), byteArrayOf(1).takeIf { random.nextBoolean() })
                    if (verdict != Verdict.RAN) retry(50)
                }
            }
        }
    }

    private fun check(
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
        at(nowMs + delayMs()) { alive(to, boot, action) }
    }

    private fun delayMs(): Long =
        if (nowMs < HEAL_MS &&
            random.nextDouble() < faults.slowMessages
        ) {
            random.nextInt(5_000).toLong()
        } else {
            1L + random.nextInt(10)
        }

    // A paused process does the action when it continues; one that crashed since never does it.
    private fun alive(
        member: SimulatedMember,
        boot: Long = member.bootId,
        action: () -> Unit,
    ) {
        when {
            !member.isUp || member.bootId != boot -> Unit
            member.pausedUntilMs > nowMs -> at(member.pausedUntilMs) { alive(member, boot, action) }
            else -> action()
        }
    }

    private fun any() = members[random.nextInt(MEMBERS)]

    private fun occur(
        everyMs: Int,
        action: () -> Unit,
    ) {
        if (everyMs == 0 || nowMs >= HEAL_MS) return
        at(nowMs + 1 + random.nextInt(2 * everyMs)) {
            if (nowMs < HEAL_MS) action()
            occur(everyMs, action)
        }
    }

    private fun every(
        periodMs: Long,
        action: () -> Unit,
    ) {
        at(nowMs + periodMs) {
            action()
            every(periodMs, action)
        }
    }

    private fun at(
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

        // The faults end at 25 s. A restart takes up to 4 s, a new epoch 2 s, its activation 3.5 s and its bound 3 s.
        const val LATE_MS = 42_000L
        const val LATE_KEYS = 10
        const val END_MS = 50_000L
    }
}
