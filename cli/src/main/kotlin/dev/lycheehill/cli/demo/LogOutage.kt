package dev.lycheehill.cli.demo

/** Switches an outage of the log on and off. */
fun interface LogOutage {
    /** Starts or ends the outage. */
    fun set(on: Boolean)
}
