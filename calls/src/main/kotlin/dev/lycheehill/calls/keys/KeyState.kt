package dev.lycheehill.calls.keys

/** State of a key at its home. */
enum class KeyState {
    /** An attempt is in progress. */
    RUNNING,

    /** An attempt ended, and the outcome is unknown. */
    MAY_HAVE_RUN,

    /** The request ran. */
    RAN,
}
