package dev.lycheehill.config.toml

/** Suggests a known key in place of an unknown key, which is probably misspelled. */
object NearestKey {
    private const val MAX_CHARS = 64

    /** Returns the key of [known] with the smallest edit distance to [key], or null when [known] is empty. */
    fun of(
        key: String,
        known: Collection<String>,
    ): String? = known.sorted().minByOrNull { editDistance(key.take(MAX_CHARS), it.take(MAX_CHARS)) }

    /** Returns the text `; did you mean "..."?` with the nearest key, or an empty text when [known] is empty. */
    fun hint(
        key: String,
        known: Collection<String>,
    ): String = of(key, known)?.let { "; did you mean \"$it\"?" }.orEmpty()

    private fun editDistance(
        a: String,
        b: String,
    ): Int {
        var row = IntArray(b.length + 1) { it }
        a.forEachIndexed { i, charA ->
            val next = IntArray(b.length + 1)
            next[0] = i + 1
            b.forEachIndexed { j, charB ->
                val substitution = row[j] + if (charA == charB) 0 else 1
                next[j + 1] = minOf(substitution, row[j + 1] + 1, next[j] + 1)
            }
            row = next
        }
        return row[b.length]
    }
}
