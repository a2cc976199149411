package dev.lycheehill.config.diff

/**
 * Names of the services, or of the routes, that differ between two configurations.
 *
 * @property added names that are only in the second configuration.
 * @property changed names that are in both configurations, with different values.
 * @property removed names that are only in the first configuration.
 */
data class EntryDiff(
    val added: Set<String>,
    val changed: Set<String>,
    val removed: Set<String>,
) {
    /** Returns whether the compared entries are equal. */
    fun isEmpty(): Boolean = added.isEmpty() && changed.isEmpty() && removed.isEmpty()

    companion object {
        /** Compares [from] with [to], two maps of entries by name. The resulting sets are sorted by name. */
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
