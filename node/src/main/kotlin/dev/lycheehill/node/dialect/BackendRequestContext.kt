package dev.lycheehill.node.dialect

/**
 * Information that a request to a backend server states in addition to the caller's own headers.
 *
 * @property remainingMs time left until the deadline, in milliseconds.
 * @property instanceId id of the addressed instance; empty if the backend server has announced none.
 * @property callerService service of the instance that made the call; empty if unknown.
 */
class BackendRequestContext(
    val remainingMs: Long,
    val instanceId: String,
    val callerService: String,
)
