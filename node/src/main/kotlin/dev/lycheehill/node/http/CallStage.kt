package dev.lycheehill.node.http

/** How far a request had come when its connection ended without a complete response. */
internal enum class CallStage {
    /** Its body was not complete. */
    INCOMPLETE,

    /** It was received behind other requests and not decoded yet. */
    QUEUED,

    /** It was received after the node had begun to close the connection. */
    DISCARDED,

    /** It was complete and waited for the responses to earlier requests of its connection. */
    DEFERRED,

    /** It was being handled and had not been sent to a target. */
    WAITING,

    /** It had been sent to a target. */
    PASSED_ON,

    /** The beginning of its response had been sent. */
    STREAMING,

    /** Its response was complete and waited for the responses to earlier requests of its connection. */
    HELD,

    /** Its response was written, but the operating system had not accepted all of it. */
    UNSENT,

    /** Its response was accepted by the operating system, but the connection was reset before the peer closed it. */
    UNCONFIRMED,
    ;

    /** Name in logs. */
    val label: String = name.lowercase()
}
