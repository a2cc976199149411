package dev.lycheehill.node.http

import io.netty.util.AsciiString

/** Names of the headers that lycheehill reads or sets. */
object CallHeaders {
    /** Prefix of all header names that belong to lycheehill. */
    const val PREFIX = "lycheehill-"

    /** Prefix of the names that are used between nodes only; short, because bytes between zones are priced. */
    const val NODE_PREFIX = "lh-"

    /** Whether the request may have run. */
    val VERDICT: AsciiString = AsciiString.cached("lycheehill-verdict")

    /** Configuration version that the call began with. */
    val VERSION: AsciiString = AsciiString.cached("lycheehill-version")

    /** Reason of a response that was made by a node. */
    val REASON: AsciiString = AsciiString.cached("lycheehill-reason")

    /** Remaining time of the call in milliseconds. */
    val DEADLINE_MS: AsciiString = AsciiString.cached("lycheehill-deadline-ms")

    /** Retries that the call and its child calls may still use. */
    val RETRIES_LEFT: AsciiString = AsciiString.cached("lycheehill-retries-left")

    /** Time after which a refused call may be sent again, in milliseconds. */
    val RETRY_AFTER_MS: AsciiString = AsciiString.cached("lycheehill-retry-after-ms")

    /** Load of the target, from its node to the caller's node. */
    val LOAD: AsciiString = AsciiString.cached("lh-load")

    /** Identifies the call on a connection between nodes; the response repeats it. */
    val CALL_ID: AsciiString = AsciiString.cached("lh-id")

    /** Route of the call, from the caller's node to the target's node. */
    val ROUTE: AsciiString = AsciiString.cached("lh-route")

    /** Service of the call, from the caller's node to the target's node. */
    val SERVICE: AsciiString = AsciiString.cached("lh-service")

    /** Priority of the call, from the caller's node to the target's node. */
    val PRIORITY: AsciiString = AsciiString.cached("lh-priority")

    /** Cost class of the call, from the caller's node to the target's node. */
    val COST: AsciiString = AsciiString.cached("lh-cost")

    /** Service of the instance where the call began, from the caller's node to the target's node. */
    val CALLER_SERVICE: AsciiString = AsciiString.cached("lh-caller")

    /** Node id of the target for which the call is meant. */
    val TARGET: AsciiString = AsciiString.cached("lh-to")

    /** Time until which an answer has its full value, from the caller's node to the target's node, in milliseconds. */
    val AIM_MS: AsciiString = AsciiString.cached("lh-aim")

    /** Present when the caller's node prefers an answer after the aim to a refusal. */
    val ACCEPTS_LATE: AsciiString = AsciiString.cached("lh-late")

    /** Present when a running call waits for this one. */
    val CHILD: AsciiString = AsciiString.cached("lh-child")

    /** Present on a refusal when the target takes no calls at all for now. */
    val UNAVAILABLE: AsciiString = AsciiString.cached("lh-unavailable")

    /** Present on a refusal when the request reached the backend server, which refused it. */
    val ARRIVED: AsciiString = AsciiString.cached("lh-arrived")

    /** Name space of the idempotency key, from the caller's node to the target's node. */
    val KEY_DOMAIN: AsciiString = AsciiString.cached("lh-domain")

    /** Longest time without a byte of the response, from the caller's node to the target's node, in milliseconds. */
    val PROGRESS_MS: AsciiString = AsciiString.cached("lh-progress")

    /** Trace context of W3C. Its trace id also names the call tree. */
    val TRACEPARENT: AsciiString = AsciiString.cached("traceparent")

    /** Client's key of a request that runs at most once. */
    val IDEMPOTENCY_KEY: AsciiString = AsciiString.cached("idempotency-key")
}
