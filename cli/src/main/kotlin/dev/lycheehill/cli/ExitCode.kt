package dev.lycheehill.cli

/** Exit codes of the command line. Codes from 3 on state the outcome of a patch. */
object ExitCode {
    /** The command succeeded. For a patch: the patch is accepted and in force on all nodes. */
    const val OK = 0

    /** The command failed, for example because the node did not respond. */
    const val FAILED = 1

    /** The command line is invalid. */
    const val USAGE = 2

    /** The patch is accepted and in force on some nodes, but not on all. */
    const val IN_FORCE_ON_SOME = 3

    /** The patch was refused and not run. */
    const val REFUSED = 4

    /** It is not known whether the patch was run. */
    const val NOT_KNOWN = 5
}
