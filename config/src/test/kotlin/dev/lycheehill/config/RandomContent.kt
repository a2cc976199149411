package dev.lycheehill.config

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.CostClass
import dev.lycheehill.config.model.Priority
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import kotlin.random.Random

/** Generates random valid configurations with up to five services and seven routes. */
object RandomContent {
    fun of(random: Random): ConfigContent {
        val services = names(random, "s", 6).map { Service(it, random.nextInt(1, 9), random.nextInt(1, 9), random.nextInt(9), 5) }
        val routes = if (services.isEmpty()) emptyList() else names(random, "r", 8).map { route(it, services, random) }
        return ConfigContent(services.associateBy { it.name }, routes.associateBy { it.name })
    }

    private fun route(
        name: String,
        services: List<Service>,
        random: Random,
    ) = Route(
        name = name,
        host = listOf("*", "a.example").random(random),
        pathPrefix = listOf("/", "/a", "/a/b").random(random),
        methods = setOf("GET", "POST").filter { random.nextBoolean() }.toSet(),
        weights = services.shuffled(random).take(2).associate { it.name to random.nextInt(1, 9) },
        priority = Priority.entries.random(random),
        idempotent = listOf(null, true, false).random(random),
        timeoutMs = listOf(null, 5).random(random),
        maxAttempts = random.nextInt(1, 6),
        cost = CostClass.entries.random(random),
        keyDomain = listOf(null, "d").random(random),
    )

    private fun names(
        random: Random,
        prefix: String,
        bound: Int,
    ) = List(random.nextInt(bound)) { "$prefix$it" }.filter { random.nextBoolean() }
}
