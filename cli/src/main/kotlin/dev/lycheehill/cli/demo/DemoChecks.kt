package dev.lycheehill.cli.demo

import java.util.concurrent.CopyOnWriteArrayList

/** Statements that must hold during the demo. */
class DemoChecks {
    private val failures = CopyOnWriteArrayList<String>()

    /** Descriptions of the checks that did not hold. */
    val failed: List<String> get() = failures.toList()

    /** Notes that [statement] does not hold when [holds] is false. Returns [holds]. */
    fun check(
        statement: String,
        holds: Boolean,
    ): Boolean {
        if (!holds) failures += statement
        return holds
    }
}
