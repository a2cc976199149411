package dev.lycheehill.platformlog.keyed

/** Failure of a call to the store. */
sealed interface StoreError {
    /** Description for logs. */
    val reason: String

    /** The store no longer retains the requested records. */
    data class Compacted(
        override val reason: String,
    ) : StoreError

    /** The store refused the call, which had no effect. */
    data class Refused(
        override val reason: String,
    ) : StoreError

    /** The store was restored from an older copy since, and may have lost what the response acknowledges or describes. */
    data class Superseded(
        override val reason: String,
    ) : StoreError

    /** The outcome is unknown, because there was no response or an unreadable one. A write may have taken effect or may still do so. */
    data class Unknown(
        override val reason: String,
    ) : StoreError
}
