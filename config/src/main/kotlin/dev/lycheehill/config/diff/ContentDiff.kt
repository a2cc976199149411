package dev.lycheehill.config.diff

import dev.lycheehill.config.model.ConfigContent

/** Difference between two configurations. */
data class ContentDiff(
    val services: EntryDiff,
    val routes: EntryDiff,
) {
    /** Tells whether the configurations are equal. */
    fun isEmpty(): Boolean = services.isEmpty() && routes.isEmpty()

    companion object {
        /** Returns what changes from [from] to [to]. */
        fun between(
            from: ConfigContent,
            to: ConfigContent,
        ): ContentDiff =
            ContentDiff(
                services = EntryDiff.between(from.services, to.services),
                routes = EntryDiff.between(from.routes, to.routes),
            )
    }
}
