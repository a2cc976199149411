package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

/** State of a member. Of two records with the same incarnation, the one with the later constant wins. */
@Serializable
enum class MemberState { COLD, READY, SUSPECT, DRAINING, GONE }
