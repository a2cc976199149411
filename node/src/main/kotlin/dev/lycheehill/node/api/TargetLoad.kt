package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right

/** Body of `PUT /v1/target/load`: the load as the backend server sees it. */
data class TargetLoad(
    val inFlight: Int,
    val queued: Int,
) {
    /** Reading from JSON. */
    companion object {
        private val FIELDS = setOf("in_flight", "queued")

        /** Reads the JSON [text], or returns what is wrong with it. */
        fun parse(text: String): Either<String, TargetLoad> =
            ApiJson.readObject(text, FIELDS).flatMap { node ->
                val load = TargetLoad(node.path("in_flight").asInt(-1), node.path("queued").asInt(0))
                if (load.inFlight < 0 || load.queued < 0) "in_flight and queued must be 0 or more".left() else load.right()
            }
    }
}
