package dev.lycheehill.config.route

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RouteTableTest {
    private val table =
        RouteTable.of(
            ConfigContent(
                routes =
                    listOf(
                        route("any-root", "*", "/"),
                        route("any-items-get", "*", "/items", "GET"),
                        route("any-items", "*", "/items"),
                        route("host-a", "a.example", "/items"),
                        route("host-a-deep-b", "a.example", "/items/deep"),
                        route("host-a-deep-a", "a.example", "/items/deep"),
                        route("host-a-deep-post", "a.example", "/items/deep", "POST"),
                        route("host-b-get", "b.example", "/items/deep", "GET"),
                    ).associateBy { it.name },
            ),
        )

    /** Guards against a request that takes a less specific route, or a route whose prefix ends within a path segment. */
    @ParameterizedTest
    @CsvSource(
        "other, /, GET, any-root",
        "other, /itemsx, GET, any-root",
        "other, /items, GET, any-items-get",
        "other, /items/1?x=/a, GET, any-items-get",
        "other, /items/, POST, any-items",
        "a.example, /items/9, GET, host-a",
        "A.example:8080, /items/deep/9, GET, host-a-deep-a",
        "a.example., /items/deep, POST, host-a-deep-post",
        "a.example, /other, GET, any-root",
        "b.example, /items/deep, POST, any-items",
        "b.example, /items/deep, GET, host-b-get",
        "[::1]:80, /items, POST, any-items",
        "other, relative, GET, ",
    )
    fun `the most specific matching route is found`(
        host: String,
        path: String,
        method: String,
        expected: String?,
    ) {
        expectThat(table.match(host, path, method)?.name).isEqualTo(expected)
    }

    private fun route(
        name: String,
        host: String,
        prefix: String,
        vararg methods: String,
    ) = Route(name = name, host = host, pathPrefix = prefix, methods = methods.toSet(), weights = mapOf("s" to 1))
}
