package dev.lycheehill.calls.keys

/** Token of an attempt of a keyed request, which must be ended with [KeyedRequests.finish]. */
class KeyToken internal constructor(
    internal val key: KeyHash,
    internal val domain: Int,
)
