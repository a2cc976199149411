package dev.lycheehill.platformlog.keyed

/**
 * Epochs of the store. A store that is restored from an older copy starts a new epoch: it has lost its latest records, and assigns
 * their offsets again.
 */
object StoreEpoch {
    /** Epoch of a store that does not report one. */
    const val UNKNOWN = 0L
}
