package dev.lycheehill.cli.demo

/**
 * Result of a demo. The command prints the report as JSON in the last line of its output.
 *
 * @property ok whether all checks held.
 * @property nodes number of live nodes at the end.
 * @property requestsFailed requests that did not succeed, except those in [requestsMayHaveRun].
 * @property requestsMayHaveRun orders whose last verdict was `may have run`, because a node failed while it handled the order.
 * @property requestsDuplicated orders that started to run more than once, counted by key at the backend stand-ins.
 * @property versionRegressions number of times that a node reported a lower version than before.
 * @property convergenceMsMax longest time from the start of a publish until the version was in force on all nodes, in
 *   milliseconds; -1 if no version was in force on all nodes.
 * @property convergenceMsP50 median of these times.
 * @property failedChecks statements that did not hold.
 */
data class DemoReport(
    val ok: Boolean,
    val deployment: String,
    val seed: Long,
    val durationMs: Long,
    val nodes: Int,
    val versionsAccepted: Int,
    val patchesRefused: Int,
    val requestsSent: Long,
    val requestsFailed: Long,
    val requestsMayHaveRun: Long,
    val requestsDuplicated: Long,
    val versionRegressions: Int,
    val convergenceMsMax: Long,
    val convergenceMsP50: Long,
    val failedChecks: List<String>,
)
