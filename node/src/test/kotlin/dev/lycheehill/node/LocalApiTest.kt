package dev.lycheehill.node

import dev.lycheehill.config.log.PatchId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class LocalApiTest {
    @Test
    fun `a target that announces itself over HTTP receives calls until it withdraws`() {
        TestMesh(targets = 1, announces = false).use { mesh ->
            val announcement = """{"service":"orders","address":"${mesh.backends[0].address}","slots":4,"lease_ms":60000}"""
            RawClient(mesh.targetNodes[0].apiAddress).use { api ->
                mesh.newClient().use { caller ->
                    expectThat(caller.call("GET", "/orders").reason) isEqualTo "no-target"
                    expectThat(api.call("PUT", "/v1/target", body = announcement).body) contains "\"serving\":true"
                    expectThat(api.call("PUT", "/v1/target/load", body = """{"in_flight":3}""").status) isEqualTo 200
                    expectThat(caller.call("GET", "/orders").status) isEqualTo 200
                    expectThat(api.call("DELETE", "/v1/target").body) contains "\"serving\":false"
                    expectThat(caller.call("GET", "/orders").verdict) isEqualTo "not-run"
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "GET    | /healthz             |                                                     | 200 | ok",
            "GET    | /readyz              |                                                     | 200 | \"ready\":true",
            "GET    | /v1/version          |                                                     | 200 | \"version\":1",
            "GET    | /v1/show/services    |                                                     | 200 | \"max_queue\":40",
            "GET    | /v1/show/routes      |                                                     | 200 | \"path_prefix\":\"/orders\"",
            "GET    | /v1/show/targets     |                                                     | 200 | \"node_id\":\"target-0\"",
            "GET    | /v1/show/versions    |                                                     | 200 | []",
            "GET    | /v1/explain?path=/orders/7 |                                               | 200 | \"path_prefix\":\"/orders\"",
            "GET    | /v1/explain?path=/x  |                                                     | 200 | \"route\":null",
            "GET    | /v1/explain          |                                                     | 400 | path is missing",
            "GET    | /v1/status/xyz       |                                                     | 400 | not a patch id",
            "PUT    | /v1/target           | {                                                   | 400 | error",
            "PUT    | /v1/target           | {\"service\":\"a\",\"address\":\"x\",\"slots\":1}   | 400 | ip:port",
            "PUT    | /v1/target           | {\"service\":\"a\",\"address\":\"127.0.0.1:1\"}     | 400 | slots",
            "PUT    | /v1/target           | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":1,\"x\":1} | 400 | x",
            "DELETE | /v1/version          |                                                     | 405 | GET",
            "GET    | /v1/none             |                                                     | 404 | no such path",
        ],
    )
    fun `endpoints return the expected content and reject unknown paths, methods and fields`(
        method: String,
        path: String,
        body: String?,
        status: Int,
        contained: String,
    ) {
        TestMesh(targets = 1).use { mesh ->
            val response = RawClient(mesh.targetNodes[0].apiAddress).use { it.call(method, path, body = body.orEmpty()) }
            expectThat(response.status) isEqualTo status
            expectThat(response.body) contains contained
        }
    }

    /** Guards against an outcome that is reported before the node can know it. */
    @Test
    fun `the status of a patch is unknown before its base version is applied`() {
        val id = PatchId.of(baseVersion = 1, baseHash = "h", text = "text")
        TestMesh(targets = 0).use { mesh ->
            val response = RawClient(mesh.callerNode.apiAddress).use { it.call("GET", "/v1/status/$id") }
            expectThat(response.body) contains "\"outcome\":\"not-known-yet\""
        }
    }
}
