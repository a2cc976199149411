package dev.lycheehill.calls.keys

/**
 * A part of the keys that [from] gives to the new home [to] at the start of [epoch]. [from] has stopped executing them.
 *
 * @property transferId equal for the parts of one transfer; parts of different transfers are not combined.
 * @property boundMs unknown keys not newer than this may have run before [from] was their home; null if there are none.
 */
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
