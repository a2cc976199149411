package dev.lycheehill.measure.fleet

/**
 * A deployment in which a fleet is measured.
 *
 * @property label name of the deployment on the command line and in reports.
 */
enum class FleetDeployment(
    val label: String,
    val region: String,
    val zones: List<String>,
) {
    COOPERATIVE("cooperative", "great-lakes", listOf("lakes-a", "lakes-b", "lakes-c")),
    CHAIYAPHRUEK("chaiyaphruek", "th-central", listOf("bkk-a", "bkk-b", "bkk-c")),
    ;

    companion object {
        /** Returns the deployment with [label]; throws [NoSuchElementException] if there is none. */
        fun of(label: String): FleetDeployment = entries.first { it.label == label }
    }
}
