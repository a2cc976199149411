package dev.lycheehill.cli

/** Exit codes of the command line. The codes from 3 on are answers about a patch. */
object ExitCode {
    /** The command did what it was asked to do; for a patch: accepted and in force on all nodes. */
    const val OK = 0

    /** The command failed, for example because the node did not answer. */
    const val FAILED = 1

    /** The command line is wrong. */
    const val USAGE = 2

    /** The patch is accepted and in force on some of the nodes. */
    const val IN_FORCE_ON_SOME = 3

    /** The patch was refused and not run. */
    const val REFUSED = 4

    /** It is not known whether the patch was run. */
    const val NOT_KNOWN = 5
}
