package dev.lycheehill.config.diff

import dev.lycheehill.config.model.ConfigContent

/**
 * Difference between two configurations.
 *
 * @property services names of the services that differ.
 * @property routes names of the routes that differ.
 */
data class ContentDiff(
    val services: EntryDiff,
    val routes: EntryDiff,
) {
    /** Returns whether the configurations are equal. */
    fun isEmpty(): Boolean = services.isEmpty() && routes.isEmpty()

    companion object {
        /** Returns the names of the services and routes that are added, changed or removed between [from] and [to]. */
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
