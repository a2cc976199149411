package dev.lycheehill.measure.fleet

/** Region and availability zones of a deployment. */
enum class FleetDeployment(
    val label: String,
    val region: String,
    val zones: List<String>,
) {
    COOPERATIVE("cooperative", "great-lakes", listOf("lakes-a", "lakes-b", "lakes-c")),
    CHAIYAPHRUEK("chaiyaphruek", "th-central", listOf("bkk-a", "bkk-b", "bkk-c")),
    ;

    companion object {
        /** Finds a deployment by its label. */
        fun of(label: String): FleetDeployment = entries.first { it.label == label }
    }
}
