package dev.lycheehill.node.dialect

/**
 * What a request to a backend server states besides the caller's own headers.
 *
 * @property remainingMs time left until the deadline.
 * @property instanceId instance for which the request is meant; empty when the backend server has announced none.
 * @property callerService service of the instance where the call began; empty when unknown.
 */
class BackendRequestContext(
    val remainingMs: Long,
    val instanceId: String,
    val callerService: String,
)
