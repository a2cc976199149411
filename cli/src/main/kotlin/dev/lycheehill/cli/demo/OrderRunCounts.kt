package dev.lycheehill.cli.demo

/** How often each order began to run, over all backend servers. */
class OrderRunCounts private constructor(
    private val startedByKey: Map<String, Int>,
) {
    /** Orders that began to run more than once. */
    val duplicated: Long get() = startedByKey.values.count { it > 1 }.toLong()

    /** Returns how often the order with [key] began to run. */
    fun started(key: String): Int = startedByKey[key] ?: 0

    companion object {
        private val KEY = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7.*")

        /** Tells whether [key] is that of an order. */
        fun isOrder(key: String): Boolean = KEY.matches(key)

        /** Counts the runs on all instances of [mesh], also on those that were killed. */
        fun of(mesh: DemoMesh): OrderRunCounts =
            OrderRunCounts(
                mesh.instances
                    .flatMap { it.runs.all().entries }
                    .filter { isOrder(it.key) }
                    .groupBy({ it.key }, { it.value.started })
                    .mapValues { it.value.sum() },
            )
    }
}
