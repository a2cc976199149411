package dev.lycheehill.calls.keys

/** One attempt of a keyed request. It is ended with [KeyedRequests.finish]. */
class KeyToken internal constructor(
    internal val key: KeyHash,
    internal val domain: Int,
)
