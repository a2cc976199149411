package dev.lycheehill.config.log

/**
 * Id of a patch: `<base version>-<first 24 hex digits of sha256(base version, base hash, text)>`.
 *
 * The same text against the same base version always has the same id.
 */
class PatchId private constructor(
    /** Id in text form. */
    val value: String,
    /** Version that the patch was written against. */
    val baseVersion: Long,
) {
    override fun equals(other: Any?): Boolean = other is PatchId && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = value

    companion object {
        private const val DIGEST_DIGITS = 24
        private val PATTERN = Regex("(0|[1-9][0-9]{0,18})-[0-9a-f]{$DIGEST_DIGITS}")

        /** Computes the id of the patch [text] against version [baseVersion], whose content has hash [baseHash]. */
        fun of(
            baseVersion: Long,
            baseHash: String,
            text: String,
        ): PatchId {
            // The concatenation is unambiguous, because neither the version nor the hash contains a line break.
            val digest = Sha256.hex("$baseVersion\n$baseHash\n$text".encodeToByteArray()).take(DIGEST_DIGITS)
            return PatchId("$baseVersion-$digest", baseVersion)
        }

        /** Parses an id in text form. Returns null when [value] is not a patch id. */
        fun parse(value: String): PatchId? {
            if (!PATTERN.matches(value)) return null
            return value.substringBefore('-').toLongOrNull()?.let { PatchId(value, it) }
        }
    }
}
