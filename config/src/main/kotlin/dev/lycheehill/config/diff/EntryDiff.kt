package dev.lycheehill.config.diff

/** Names of the entries of one kind that differ between two contents. */
data class EntryDiff(
    val added: Set<String>,
    val changed: Set<String>,
    val removed: Set<String>,
) {
    /** Tells whether nothing differs. */
    fun isEmpty(): Boolean = added.isEmpty() && changed.isEmpty() && removed.isEmpty()

    companion object {
        /** Compares [from] with [to]. The sets are in order of the names. */
        fun <T> between(
            from: Map<String, T>,
            to: Map<String, T>,
        ): EntryDiff =
            EntryDiff(
                added = (to.keys - from.keys).toSortedSet(),
                changed = to.keys.filter { it in from && from[it] != to[it] }.toSortedSet(),
                removed = (from.keys - to.keys).toSortedSet(),
            )
    }
}
