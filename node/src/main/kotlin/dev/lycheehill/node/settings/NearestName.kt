package dev.lycheehill.node.settings

/** Suggests a known name for a misspelt one. */
internal object NearestName {
    /** Returns the member of [known] with the smallest Levenshtein distance from [name]; of equals, the first by name. */
    fun of(
        name: String,
        known: Collection<String>,
    ): String? = known.sorted().minByOrNull { distance(name, it) }

    private fun distance(
        left: String,
        right: String,
    ): Int {
        var previous = IntArray(right.length + 1) { it }
        for (i in 1..left.length) {
            val current = IntArray(right.length + 1)
            current[0] = i
            for (j in 1..right.length) {
                val substitution = previous[j - 1] + if (left[i - 1] == right[j - 1]) 0 else 1
                current[j] = minOf(substitution, previous[j] + 1, current[j - 1] + 1)
            }
            previous = current
        }
        return previous[right.length]
    }
}
