package dev.lycheehill.calls.keys

/** What a home knows of a key. */
enum class KeyState {
    /** An attempt is in progress. */
    RUNNING,

    /** An attempt ended without a known outcome. */
    MAY_HAVE_RUN,

    /** The request ran. */
    RAN,
}
