package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.fleet.membership.MemberState

/**
 * Body of `PUT /v1/target`, by which a backend server announces itself and renews its lease.
 *
 * @property address `ip:port` of the backend server.
 * @property state `COLD`, `READY` or `DRAINING`.
 */
data class TargetAnnouncement(
    val service: String,
    val address: String,
    val state: MemberState,
    val slots: Int,
    val leaseMs: Long,
) {
    /** Returns what is wrong with the values, or null. */
    fun fault(): String? =
        when {
            service.isBlank() -> "service is empty"
            !ADDRESS.matches(address) -> "address is not of the form ip:port"
            address.substringAfterLast(':').toInt() !in 1..MAX_PORT -> "port is not within 1..$MAX_PORT"
            state !in ANNOUNCED -> "state is not one of $ANNOUNCED"
            slots !in 1..MAX_SLOTS -> "slots is not within 1..$MAX_SLOTS"
            leaseMs !in LEASE_RANGE_MS -> "lease_ms is not within $LEASE_RANGE_MS"
            else -> null
        }

    /** Reading from JSON. */
    companion object {
        private val FIELDS = setOf("service", "address", "state", "slots", "lease_ms")

        /** Reads the JSON [text], or returns what is wrong with it. [defaultLeaseMs] holds for a target that names no lease. */
        fun parse(
            text: String,
            defaultLeaseMs: Long,
        ): Either<String, TargetAnnouncement> =
            ApiJson.readObject(text, FIELDS).flatMap { node ->
                val announcement = read(node, defaultLeaseMs)
                announcement.fault()?.left() ?: announcement.right()
            }

        // A missing or malformed value becomes one that fault() refuses.
        private fun read(
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

        private val ADDRESS = Regex("""[0-9.]+:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")
        private val ANNOUNCED = setOf(MemberState.COLD, MemberState.READY, MemberState.DRAINING)
        private val LEASE_RANGE_MS = 100L..60_000L
        private const val MAX_PORT = 65_535
        private const val MAX_SLOTS = 10_000
    }
}
