package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.concurrent.thread
import kotlin.math.abs

class TargetPickerTest {
    private fun targets(
        count: Int,
        remote: Int = 0,
    ) = List(count) { TargetInfo("t$it", "a", "", slots = 10) } + List(remote) { TargetInfo("r$it", "b", "", slots = 10) }

    private fun picker(kind: String): TargetPicker = if (kind == "round-robin") RoundRobinPicker() else LoadAwarePicker("a", SEED)

    /** Guards against calls to removed targets, and against a retry at the target that has just failed. */
    @ParameterizedTest
    @ValueSource(strings = ["round-robin", "load-aware"])
    fun `only listed targets are picked, untried ones first, and none from an empty list`(kind: String) {
        val picker = picker(kind)
        expectThat(picker.pick(0)).isNull()
        picker.update(targets(4), 0)
        repeat(100) { expectThat(picker.pick(0, listOf("t0", "t2"))!!.info.id).isContainedIn(setOf("t1", "t3")) }
        picker.update(targets(1), 0)
        repeat(10) { expectThat(picker.pick(0, listOf("t0"))!!.info.id).isEqualTo("t0") }
    }

    /** Guards against choices that depend on anything but the seed and the observed calls. */
    @Test
    fun `equal seeds give equal choices`() {
        val runs = List(2) { PickerSimulation(LoadAwarePicker("a", SEED), targets(12), SEED).run(0, 2_000).calls.toMap() }
        expectThat(runs[0]).isEqualTo(runs[1])
    }

    /** Guards against stragglers in the tail: with targets that are ten times slower, the p99 is at most 1.3 times that without them. */
    @ParameterizedTest
    @CsvSource("4, 1, 340", "4, 1, 2000", "12, 1, 340", "12, 1, 5000", "3, 1, 340", "6, 2, 340", "12, 4, 340", "12, 4, 2000")
    fun `slow targets hardly raise the tail`(
        count: Int,
        slow: Int,
        callsPerSecond: Int,
    ) {
        fun p99(slowNow: Int): Double {
            var slowIds = emptySet<String>()
            val simulation =
                PickerSimulation(
                    LoadAwarePicker("a", SEED),
                    targets(count),
                    SEED,
                    callsPerSecond,
                    { if (it.id in slowIds) 50.0 else 5.0 },
                )
            simulation.run(0, 5_000)
            slowIds = List(slowNow) { "t$it" }.toSet()
            return simulation.run(5_000, 25_000).p99Ms()
        }
        val ratio = p99(slow) / p99(0)
        println("seed=$SEED targets=$count slow=$slow calls/s=$callsPerSecond p99 ratio=$ratio")
        expectThat(ratio).isLessThanOrEqualTo(1.3)
    }

    /** Guards against a node that ejects most targets because of a fault in its own network. */
    @ParameterizedTest
    @CsvSource("1, 0", "2, 0", "3, 1", "5, 1", "6, 2", "12, 4", "100, 33")
    fun `at most a third is ejected when all targets fail`(
        count: Int,
        ejected: Int,
    ) {
        val picker = LoadAwarePicker("a", SEED)
        PickerSimulation(picker, targets(count), SEED, outcome = { AttemptOutcome.FAILURE }).run(0, 5_000)
        expectThat(picker.ejectedIds).hasSize(ejected)
        picker.update(targets(2), 5_000 * NANOS_PER_MILLI)
        expectThat(picker.ejectedIds).hasSize(0)
    }

    /** Guards against an ejected target that is never readmitted, and against a readmission without a successful trial. */
    @Test
    fun `a failing target gets few trial calls and is readmitted after it recovers`() {
        var broken = true
        val picker = LoadAwarePicker("a", SEED)
        val simulation =
            PickerSimulation(picker, targets(4), SEED, outcome = {
                if (broken && it.id == "t0") AttemptOutcome.FAILURE else AttemptOutcome.SUCCESS
            })
        simulation.run(0, 30_000)
        expectThat(simulation.calls.getValue("t0")).isLessThan(20)
        broken = false
        simulation.run(30_000, 70_000)
        expectThat(picker.ejectedIds).hasSize(0)
        expectThat(simulation.run(70_000, 80_000).share("t0")).isGreaterThan(0.15)
    }

    /** Guards against a flood of calls at a cold target, and against a cold target that gets no calls to warm up with. */
    @Test
    fun `a cold target gets a small share that grows`() {
        val picker = LoadAwarePicker("a", SEED)
        PickerSimulation(picker, targets(4), SEED, 2_000).run(0, 2_000)
        val cold = targets(4) + TargetInfo("cold", "a", "", slots = 10, cold = true)
        val simulation = PickerSimulation(picker, cold, SEED, 2_000).run(2_000, 3_000)
        expectThat(simulation.share("cold")).isGreaterThan(0.002).isLessThan(0.06)
        expectThat(simulation.run(12_500, 14_000).share("cold")).isGreaterThan(0.12)
    }

    /** Guards against a hot spot when all targets are cold, as after a mass restart. */
    @Test
    fun `cold targets share the calls when all are cold`() {
        val cold = targets(4).map { it.copy(cold = true) }
        val simulation = PickerSimulation(LoadAwarePicker("a", SEED), cold, SEED, 1_000).run(0, 2_000)
        cold.forEach { expectThat(abs(simulation.share(it.id) - 0.25)).isLessThan(0.1) }
    }

    /** Guards against a target that attracts or repels calls by false load reports. */
    @ParameterizedTest
    @CsvSource("0, 1", "1000000, 1", "1000000, 100000000000")
    fun `own observations outweigh a false report`(
        inFlight: Int,
        latencyNanos: Long,
    ) {
        val truthful = { _: TargetInfo, running: Int -> LoadReport(running, 5 * NANOS_PER_MILLI) }
        val simulation =
            PickerSimulation(
                LoadAwarePicker("a", SEED),
                targets(4),
                SEED,
                1_000,
                report = { info, running -> if (info.id == "t0") LoadReport(inFlight, latencyNanos) else truthful(info, running) },
            )
        simulation.run(0, 10_000)
        expectThat(simulation.share("t0")).isGreaterThan(0.001).isLessThan(0.5)
    }

    /** Guards against calls that leave the zone needlessly, and against an overloaded zone that sends no calls to other zones. */
    @ParameterizedTest
    @CsvSource("1000, 0.0, 0.001", "12000, 0.3, 0.8")
    fun `calls leave the zone only when its slots fill up`(
        callsPerSecond: Int,
        least: Double,
        most: Double,
    ) {
        val simulation = PickerSimulation(LoadAwarePicker("a", SEED), targets(3, remote = 6), SEED, callsPerSecond)
        simulation.run(0, 5_000)
        val remote = List(6) { simulation.share("r$it") }.sum()
        expectThat(remote).isGreaterThan(least - 1e-9).isLessThan(most)
    }

    /** Guards against races in the count of calls in flight, after which a target would look busy forever. */
    @Test
    fun `no call stays in flight after concurrent calls and updates`() {
        val picker = LoadAwarePicker("a", SEED)
        picker.update(targets(6, remote = 2), 0)
        val outcomes = AttemptOutcome.entries
        val workers =
            List(4) { worker ->
                thread {
                    for (index in 1..20_000L) {
                        val handle = checkNotNull(picker.pick(index * 10_000))
                        picker.onStart(handle, index * 10_000)
                        if (index % 1_000 == 0L) picker.update(targets(6 - worker, remote = 2), index * 10_000)
                        picker.onFinish(handle, index * 10_000 + 5_000, 5_000, outcomes[(index % 7 % 4).toInt()], LoadReport(0))
                    }
                }
            }
        workers.forEach(Thread::join)
        picker.update(targets(6, remote = 2), 0)
        val handles = (0..1_000).mapNotNull { picker.pick(1_000_000_000_000L) as? LoadAwareTarget }.toSet()
        expectThat(handles.map { it.ownInFlight.get() }.toSet()).isEqualTo(setOf(0))
    }

    private companion object {
        const val SEED = 20_261_204L
    }
}
