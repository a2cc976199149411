package dev.lycheehill.config.patch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.toml.NearestKey
import dev.lycheehill.config.toml.TomlDocument
import dev.lycheehill.config.toml.TomlError

/** Applies this patch to [base]. Returns the resulting configuration, or all errors (at most [TomlDocument.MAX_ERRORS]). */
fun Patch.applyTo(base: ConfigContent): Either<List<TomlError>, ConfigContent> {
    val result =
        ConfigContent(
            services = base.services - removedServices + services,
            routes = base.routes - removedRoutes + routes,
        )
    // The sequence is truncated before the hints of all errors are computed, so that a large faulty patch does not stall the
    // fold.
    val errors = (unknownRemovals(base) + unknownServices(result) + removedServicesInUse(result)).take(TomlDocument.MAX_ERRORS).toList()
    return if (errors.isEmpty()) result.right() else errors.sortedBy { it.line }.left()
}

private fun Patch.unknownRemovals(base: ConfigContent): Sequence<TomlError> =
    unknownNames(removedServices, base.services.keys, "service") + unknownNames(removedRoutes, base.routes.keys, "route")

private fun Patch.unknownNames(
    removed: Set<String>,
    present: Set<String>,
    kind: String,
): Sequence<TomlError> =
    (removed - present).asSequence().map { name ->
        errorAt(listOf("remove", "${kind}s"), "the base version has no $kind \"$name\"${NearestKey.hint(name, present)}")
    }

private fun Patch.unknownServices(result: ConfigContent): Sequence<TomlError> =
    routes.values.asSequence().flatMap { route ->
        (route.weights.keys - result.services.keys).asSequence().map { service ->
            errorAt(
                listOf("routes", route.name, "weights", service),
                "the resulting version has no service \"$service\"${NearestKey.hint(service, result.services.keys)}",
            )
        }
    }

private fun Patch.removedServicesInUse(result: ConfigContent): Sequence<TomlError> =
    result.routes.values
        .asSequence()
        .filter { removedServices.isNotEmpty() && it.name !in routes }
        .flatMap { route ->
            route.weights.keys.asSequence().filter { it in removedServices }.map { service ->
                errorAt(listOf("remove", "services"), "service \"$service\" is still used by route \"${route.name}\"")
            }
        }
