package dev.lycheehill.cli.demo

/**
 * Result of a demo; its JSON form is the last line of the output.
 *
 * @property requestsFailed requests without a success, without those in [requestsMayHaveRun].
 * @property requestsMayHaveRun orders whose last answer was `may have run`, because a node died while it had them.
 * @property requestsDuplicated orders that began to run more than once, counted by key at the backend stand-ins.
 * @property versionRegressions times that a node showed a lower version than before.
 * @property convergenceMsMax longest time from an append to the version in force on all nodes, in milliseconds.
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
