package dev.lycheehill.cli.demo

/** Number of times that each order started to run, over all backend servers. */
class OrderRunCounts private constructor(
    private val startedByKey: Map<String, Int>,
) {
    /** Number of orders that started to run more than once. */
    val duplicated: Long get() = startedByKey.values.count { it > 1 }.toLong()

    /** Returns how often the order with [key] started to run. */
    fun started(key: String): Int = startedByKey[key] ?: 0

    companion object {
        private val KEY = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7.*")

        /** Returns whether [key] is the key of an order. The keys of orders are UUIDs of version 7. */
        fun isOrder(key: String): Boolean = KEY.matches(key)

        /** Counts the runs on all instances of [mesh], including killed ones. */
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
