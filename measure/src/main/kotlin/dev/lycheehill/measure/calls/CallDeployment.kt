package dev.lycheehill.measure.calls

/**
 * A deployment in which calls are measured, reduced to its read path.
 *
 * @property label name of the deployment on the command line and in reports.
 * @property zones availability zones of the region.
 * @property service service that is called: the service with the most targets.
 * @property targets number of targets of the service.
 * @property slots number of calls that one target executes concurrently.
 */
enum class CallDeployment(
    val label: String,
    val region: String,
    val zones: List<String>,
    val service: String,
    val targets: Int,
    val slots: Int,
) {
    COOPERATIVE("cooperative", "great-lakes", listOf("lakes-a", "lakes-b", "lakes-c"), "catalogue", 4, 10),
    CHAIYAPHRUEK("chaiyaphruek", "th-central", listOf("bkk-a", "bkk-b", "bkk-c"), "history", 4, 20),
    ;

    companion object {
        /** Returns the deployment with [label]; throws [NoSuchElementException] if there is none. */
        fun of(label: String): CallDeployment = entries.first { it.label == label }
    }
}
