package dev.lycheehill.node.settings

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Files
import java.nio.file.Path

/** Guards against invalid settings that are accepted, and against a documented example that no longer loads. */
class NodeSettingsTest {
    private val example = Files.readString(Path.of("../docs/examples/node.toml"))

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "id = \"catalogue-1\" | id = 7 | n.toml:5: node.id: expected a name of lower-case letters, digits, dots and dashes, found 7",
            "zone = \"lakes-a\" | '' | n.toml:4: node.zone: required key is missing",
            "lease_ms = 5000 | lease_ms = 999 | n.toml:8: node.lease_ms: " +
                "expected a whole number of milliseconds from 1000 to 60000, found 999",
            "lease_ms = 5000 | lease_ms = \"5 s\" | n.toml:8: node.lease_ms: " +
                "expected a whole number of milliseconds from 1000 to 60000, found \"5 s\"",
            "lease_ms = 5000 | lease_seconds = 5 | n.toml:8: node.lease_seconds: " +
                "unknown key; did you mean \"node.lease_ms\"?",
            "egress = \"127.0.0.1:7100\" | egress = \"127.0.0.1:70000\" | n.toml:12: addresses.egress: " +
                "expected an address such as \"127.0.0.1:7000\", found \"127.0.0.1:70000\"",
            "egress = \"127.0.0.1:7100\" | egress = \"127.0.0.1:7103\" | n.toml:15: addresses.local_api: " +
                "same address as addresses.egress: 127.0.0.1:7103",
            "[\"127.0.0.1:7202\" | [7 | n.toml:18: fleet.seeds: " +
                "expected a list of strings, each an address such as \"127.0.0.1:7000\", found [7,\"127.0.0.1:7302\"]",
            "sample_percent = 1  | sample_percent = 1.5 | n.toml:41: tracing.sample_percent: " +
                "expected a whole number of percent from 0 to 100, found 1.5",
            "# [tls] | [tls] | n.toml:35: tls.certificate_file: required key is missing, because table tls is present",
            "[tracing] | [traces] | n.toml:41: traces.sample_percent: unknown key; did you mean \"tracing.sample_percent\"?",
        ],
    )
    fun `an invalid setting is rejected with file, line and key`(
        original: String,
        replacement: String,
        expected: String,
    ) {
        val text = example.replaceFirst(original, replacement)

        val message = NodeSettings.parse("n.toml", text).leftOrNull().toString()

        expectThat(message.lines().first()).isEqualTo(expected)
    }

    @Test
    fun `all faults in a file are reported together`() {
        val text = example.replace("lease_ms = 5000", "lease_ms = 1").replace("max_keys = 300000", "max_keys = 0")

        val error = NodeSettings.parse("n.toml", text).leftOrNull()

        expectThat(error?.faults?.map { it.key }).isEqualTo(listOf("node.lease_ms", "limits.max_keys"))
    }

    @Test
    fun `text that is not TOML is rejected with the line of the error`() {
        val fault =
            NodeSettings
                .parse("n.toml", "[node]\nid = \n")
                .leftOrNull()
                ?.faults
                ?.single()

        expectThat(fault?.line).isEqualTo(2)
    }

    @Test
    fun `the example sets every optional number to its default`() {
        val settings = NodeSettings.parse("node.toml", example).getOrNull()?.settings

        expectThat(settings?.limits).isEqualTo(NodeLimits())
        expectThat(settings?.tracing).isEqualTo(TracingSettings())
        expectThat(settings?.tls).isNull()
    }

    @Test
    fun `effective values are rendered as TOML that loads again, with secrets masked`() {
        val text = example.replace("# otlp_authorization", "otlp_authorization")

        val rendered =
            NodeSettings
                .parse("n.toml", text)
                .getOrNull()
                ?.render()
                .orEmpty()

        expectThat(rendered).contains("otlp_authorization = \"***\"").not().contains("change-me")
        expectThat(
            NodeSettings
                .parse("again.toml", rendered)
                .getOrNull()
                ?.settings
                ?.addresses
                ?.egress,
        ).isEqualTo(HostPort("127.0.0.1", 7100))
    }
}
