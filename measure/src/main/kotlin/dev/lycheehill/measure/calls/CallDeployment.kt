package dev.lycheehill.measure.calls

/**
 * The read path of a deployment, as far as the measurements of calls use it.
 *
 * @property service service with the most targets.
 * @property slots calls that one target runs at a time.
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
        /** Finds a deployment by its label. */
        fun of(label: String): CallDeployment = entries.first { it.label == label }
    }
}
