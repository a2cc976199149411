package dev.lycheehill.measure.emulator.store

/**
 * Return of the store from an older copy, as emulated by [RestoreEmulation].
 *
 * @property nodes number of nodes before the copy, spread over [zones].
 * @property startedNodes nodes that start after the copy, whose records the store loses.
 * @property lostVersions configurations that the store loses. The operator writes the last one again at the return, and then a new one.
 * @property cutShare share of the nodes that reach the store only [cutMs] after its return.
 * @property outageMs time for which the store responds to nobody before its return, in milliseconds.
 */
data class RestoreScenario(
    val nodes: Int,
    val startedNodes: Int = 2,
    val lostVersions: Int = 2,
    val cutShare: Double = 0.9,
    val cutMs: Long = 1_500,
    val outageMs: Long = 2_000,
    val zones: List<String> = listOf("a", "b", "c"),
)
