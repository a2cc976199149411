package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right

/**
 * Body of `PUT /v1/target/load`: the load that the backend server reports.
 *
 * @property inFlight calls that the backend server is running.
 * @property queued calls that wait in the backend server.
 */
data class TargetLoad(
    val inFlight: Int,
    val queued: Int,
) {
    /** Parses load reports from JSON. */
    companion object {
        private val KNOWN_FIELDS = setOf("in_flight", "queued")

        /** Parses the JSON [text], or returns an error message. */
        fun parse(text: String): Either<String, TargetLoad> =
            ApiJson.readObject(text, KNOWN_FIELDS).flatMap { node ->
                val load = TargetLoad(node.path("in_flight").asInt(-1), node.path("queued").asInt(0))
                if (load.inFlight < 0 || load.queued < 0) "in_flight and queued must be 0 or more".left() else load.right()
            }
    }
}
