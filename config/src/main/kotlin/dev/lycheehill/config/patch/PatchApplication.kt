package dev.lycheehill.config.patch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.toml.NearestKey
import dev.lycheehill.config.toml.TomlDocument
import dev.lycheehill.config.toml.TomlError

/** Applies this patch to [base], or refuses it as a whole with each reason. */
fun Patch.applyTo(base: ConfigContent): Either<List<TomlError>, ConfigContent> {
    val result =
        ConfigContent(
            services = base.services - removedServices + services,
            routes = base.routes - removedRoutes + routes,
        )
    // The list is cut before the hints are computed for all entries: a large faulty patch must not stall the fold.
    val errors = (missingRemovals(base) + missingServices(result) + stillUsed(result)).take(TomlDocument.MAX_FAULTS).toList()
    return if (errors.isEmpty()) result.right() else errors.sortedBy { it.line }.left()
}

private fun Patch.missingRemovals(base: ConfigContent): Sequence<TomlError> =
    missing(removedServices, base.services.keys, "service") + missing(removedRoutes, base.routes.keys, "route")

private fun Patch.missing(
    removed: Set<String>,
    present: Set<String>,
    noun: String,
): Sequence<TomlError> =
    (removed - present).asSequence().map { name ->
        error(listOf("remove", "${noun}s"), "the base version has no $noun \"$name\"${NearestKey.hint(name, present)}")
    }

private fun Patch.missingServices(result: ConfigContent): Sequence<TomlError> =
    routes.values.asSequence().flatMap { route ->
        (route.weights.keys - result.services.keys).asSequence().map { service ->
            error(
                listOf("routes", route.name, "weights", service),
                "the resulting version has no service \"$service\"${NearestKey.hint(service, result.services.keys)}",
            )
        }
    }

private fun Patch.stillUsed(result: ConfigContent): Sequence<TomlError> =
    result.routes.values
        .asSequence()
        .filter { removedServices.isNotEmpty() && it.name !in routes }
        .flatMap { route ->
            route.weights.keys.asSequence().filter { it in removedServices }.map { service ->
                error(listOf("remove", "services"), "service \"$service\" is still used by route \"${route.name}\"")
            }
        }
