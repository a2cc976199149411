package dev.lycheehill.cli.demo

import java.util.concurrent.CopyOnWriteArrayList

/** Collects the checks of the demo that failed. Thread-safe. */
class DemoChecks {
    private val failures = CopyOnWriteArrayList<String>()

    /** Statements that did not hold. */
    val failed: List<String> get() = failures.toList()

    /** Records [statement] as failed if [holds] is false. Returns [holds]. */
    fun check(
        statement: String,
        holds: Boolean,
    ): Boolean {
        if (!holds) failures += statement
        return holds
    }
}
