package dev.lycheehill.node.http

import io.netty.util.AsciiString

/** Names of the headers that lycheehill reads or sets. Headers that start with [NODE_PREFIX] are used between nodes only. */
object CallHeaders {
    /** Prefix of the header names that lycheehill shares with callers and backend servers. */
    const val PREFIX = "lycheehill-"

    /** Prefix of the header names that are used between nodes only. The names are short, because traffic between zones is billed. */
    const val NODE_PREFIX = "lh-"

    /** Verdict: whether the request was executed, was not executed, or may have been executed. */
    val VERDICT: AsciiString = AsciiString.cached("lycheehill-verdict")

    /** Configuration version at the start of the call. */
    val VERSION: AsciiString = AsciiString.cached("lycheehill-version")

    /** Reason of a response that a node made itself. */
    val REASON: AsciiString = AsciiString.cached("lycheehill-reason")

    /** Time left until the deadline of the call, in milliseconds. */
    val DEADLINE_MS: AsciiString = AsciiString.cached("lycheehill-deadline-ms")

    /** Number of retries that the call and its child calls may still use. */
    val RETRIES_LEFT: AsciiString = AsciiString.cached("lycheehill-retries-left")

    /** Delay after which a refused call may be retried, in milliseconds. */
    val RETRY_AFTER_MS: AsciiString = AsciiString.cached("lycheehill-retry-after-ms")

    /** Load of the target, reported by the target's node to the caller's node. */
    val LOAD: AsciiString = AsciiString.cached("lh-load")

    /** Limit that the target's backend server states, on responses between nodes and on later requests to the same target. */
    val LIMIT: AsciiString = AsciiString.cached("lh-limit")

    /**
     * Process of the target's backend server that has stated its shutdown, on responses between nodes and on later requests to the same
     * target.
     */
    val LEAVING: AsciiString = AsciiString.cached("lh-leaving")

    /** Id of the call on a connection between nodes. The response repeats the id. */
    val CALL_ID: AsciiString = AsciiString.cached("lh-id")

    /** Route of the call, from the caller's node to the target's node. */
    val ROUTE: AsciiString = AsciiString.cached("lh-route")

    /** Service of the call, from the caller's node to the target's node. */
    val SERVICE: AsciiString = AsciiString.cached("lh-service")

    /** Priority of the call, from the caller's node to the target's node. */
    val PRIORITY: AsciiString = AsciiString.cached("lh-priority")

    /** Cost class of the call, from the caller's node to the target's node. */
    val COST: AsciiString = AsciiString.cached("lh-cost")

    /** Service of the instance that made the call, from the caller's node to the target's node. */
    val CALLER_SERVICE: AsciiString = AsciiString.cached("lh-caller")

    /** Node id of the target that the caller's node has chosen. */
    val TARGET: AsciiString = AsciiString.cached("lh-to")

    /** Aim: time in which a response has its full value, from the caller's node to the target's node, in milliseconds. */
    val AIM_MS: AsciiString = AsciiString.cached("lh-aim")

    /** Present if the caller's node prefers a response after the aim to a refusal. */
    val ACCEPTS_LATE: AsciiString = AsciiString.cached("lh-late")

    /** Present if the call is a child call, whose response a running request waits for. */
    val CHILD: AsciiString = AsciiString.cached("lh-child")

    /** Present on a refusal if the target currently accepts no calls at all. */
    val UNAVAILABLE: AsciiString = AsciiString.cached("lh-unavailable")

    /** Present on a refusal if the backend server itself refused the request. */
    val ARRIVED: AsciiString = AsciiString.cached("lh-arrived")

    /** Domain (namespace) of the idempotency key, from the caller's node to the target's node. */
    val KEY_DOMAIN: AsciiString = AsciiString.cached("lh-domain")

    /** Longest time without a byte of the response, from the caller's node to the target's node, in milliseconds. */
    val PROGRESS_MS: AsciiString = AsciiString.cached("lh-progress")

    /** W3C trace context. The trace id also identifies the call tree. */
    val TRACEPARENT: AsciiString = AsciiString.cached("traceparent")

    /** Idempotency key that the caller sets on a request which must be executed at most once. */
    val IDEMPOTENCY_KEY: AsciiString = AsciiString.cached("idempotency-key")
}
