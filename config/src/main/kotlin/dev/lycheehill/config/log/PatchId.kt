package dev.lycheehill.config.log

/**
 * Identifies a patch: `<base>-<first 24 hex digits of sha256(base, baseHash, text)>`.
 *
 * The same text against the same base always has the same id.
 */
class PatchId private constructor(
    /** Text form of the id. */
    val value: String,
    /** Version that the patch was written against. */
    val baseVersion: Long,
) {
    override fun equals(other: Any?): Boolean = other is PatchId && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = value

    companion object {
        private const val DIGEST_DIGITS = 24
        private val SHAPE = Regex("(0|[1-9][0-9]{0,18})-[0-9a-f]{$DIGEST_DIGITS}")

        /** Computes the id of [text] against version [baseVersion], whose content has hash [baseHash]. */
        fun of(
            baseVersion: Long,
            baseHash: String,
            text: String,
        ): PatchId {
            // Neither number nor hash contains a line break, so the concatenation is unambiguous.
            val digest = Sha256.hex("$baseVersion\n$baseHash\n$text".encodeToByteArray()).take(DIGEST_DIGITS)
            return PatchId("$baseVersion-$digest", baseVersion)
        }

        /** Parses the text form; null when [value] is not a patch id. */
        fun parse(value: String): PatchId? {
            if (!SHAPE.matches(value)) return null
            return value.substringBefore('-').toLongOrNull()?.let { PatchId(value, it) }
        }
    }
}
