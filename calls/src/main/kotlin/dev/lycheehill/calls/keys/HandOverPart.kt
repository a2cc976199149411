package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * A part of the transfer of keys from the home [from] to the new home [to] at the start of [epoch]. [from] has stopped executing
 * requests with these keys.
 *
 * @property transferId equal for all parts of one transfer; parts of different transfers are not combined.
 * @property part index of this part, counted from 0.
 * @property parts number of parts of the transfer.
 * @property boundMs time in milliseconds since the Unix epoch. Requests whose key is not newer than this time and not part of the
 *   transfer may have run before [from] became the home of the key. Null if there are no such keys.
 * @property keys the keys of this part.
 */
@Serializable
class HandOverPart(
    val domain: String,
    val epoch: Long,
    val from: HomeMember,
    val to: HomeMember,
    val transferId: Long,
    val part: Int,
    val parts: Int,
    val boundMs: Long?,
    val keys: List<HandedKey>,
)
