package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.fleet.membership.MemberState

/**
 * Body of `PUT /v1/target`, with which a backend server registers and renews its lease.
 *
 * @property service name of the service to which the backend server belongs.
 * @property address `ip:port` of the backend server.
 * @property state `COLD`, `READY` or `DRAINING`.
 * @property slots calls that the backend server can run concurrently.
 * @property leaseMs time in milliseconds for which the registration is valid unless it is renewed.
 */
data class TargetAnnouncement(
    val service: String,
    val address: String,
    val state: MemberState,
    val slots: Int,
    val leaseMs: Long,
) {
    /** Returns a message that states the first invalid value, or null if all values are valid. */
    fun validationError(): String? =
        when {
            service.isBlank() -> "service is empty"
            !ADDRESS_PATTERN.matches(address) -> "address is not of the form ip:port"
            address.substringAfterLast(':').toInt() !in 1..MAX_PORT -> "port is not within 1..$MAX_PORT"
            state !in ALLOWED_STATES -> "state is not one of $ALLOWED_STATES"
            slots !in 1..MAX_SLOTS -> "slots is not within 1..$MAX_SLOTS"
            leaseMs !in LEASE_RANGE_MS -> "lease_ms is not within $LEASE_RANGE_MS"
            else -> null
        }

    /** Parses announcements from JSON. */
    companion object {
        private val KNOWN_FIELDS = setOf("service", "address", "state", "slots", "lease_ms")

        /** Parses the JSON [text], or returns an error message. [defaultLeaseMs] applies when the announcement has no `lease_ms`. */
        fun parse(
            text: String,
            defaultLeaseMs: Long,
        ): Either<String, TargetAnnouncement> =
            ApiJson.readObject(text, KNOWN_FIELDS).flatMap { node ->
                val announcement = fromJson(node, defaultLeaseMs)
                announcement.validationError()?.left() ?: announcement.right()
            }

        // A missing or malformed value becomes a value that validationError() rejects.
        private fun fromJson(
            node: JsonNode,
            defaultLeaseMs: Long,
        ): TargetAnnouncement {
            val state = node.path("state").asText("READY")
            return TargetAnnouncement(
                service = node.path("service").asText(""),
                address = node.path("address").asText(""),
                state = MemberState.entries.firstOrNull { it.name == state } ?: MemberState.GONE,
                slots = node.path("slots").asInt(0),
                leaseMs = if (node.has("lease_ms")) node.path("lease_ms").asLong(0) else defaultLeaseMs,
            )
        }

        private val ADDRESS_PATTERN = Regex("""[0-9.]+:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")
        private val ALLOWED_STATES = setOf(MemberState.COLD, MemberState.READY, MemberState.DRAINING)
        private val LEASE_RANGE_MS = 100L..60_000L
        private const val MAX_PORT = 65_535
        private const val MAX_SLOTS = 10_000
    }
}
