package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

/** State of a member. Within one incarnation the later constant wins. */
@Serializable
enum class MemberState { COLD, READY, SUSPECT, DRAINING, GONE }
