package dev.lycheehill.node.settings

private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9.-]{0,62}")
private const val EXPECTED_NAME = "a name of lower-case letters, digits, dots and dashes"
private val URL_PATTERN = Regex("https?://[^\\s/]+(/\\S*)?")
private val DEFAULTS = NodeSettings(nodeId = "default", zone = "default", region = "default", logAddress = HostPort.LOOPBACK_FREE_PORT)

/** Reads each key of the settings file of a node from [reader], which collects the errors. */
internal fun readNodeSettings(reader: SettingsReader): NodeSettings =
    NodeSettings(
        nodeId = reader.string("node.id", form = NAME_PATTERN, expected = EXPECTED_NAME),
        zone = reader.string("node.zone", form = NAME_PATTERN, expected = EXPECTED_NAME),
        region = reader.string("node.region", form = NAME_PATTERN, expected = EXPECTED_NAME),
        leaseMs = reader.int("node.lease_ms", DEFAULTS.leaseMs, 1_000..60_000, "milliseconds"),
        shutdownMs = reader.int("node.shutdown_ms", DEFAULTS.shutdownMs, 0..600_000, "milliseconds"),
        addresses = readAddresses(reader),
        seeds = reader.addresses("fleet.seeds"),
        logAddress = reader.address("log.address"),
        limits = readLimits(reader),
        tls = readTls(reader),
        tracing = readTracing(reader),
    )

private fun readAddresses(reader: SettingsReader): NodeAddresses {
    val addresses =
        NodeAddresses(
            egress = reader.address("addresses.egress"),
            ingress = reader.address("addresses.ingress"),
            control = reader.address("addresses.control"),
            localApi = reader.address("addresses.local_api"),
        )
    val nameByAddress = mutableMapOf<HostPort, String>()
    val namedAddresses =
        listOf(
            "egress" to addresses.egress,
            "ingress" to addresses.ingress,
            "control" to addresses.control,
            "local_api" to addresses.localApi,
        )
    for ((name, address) in namedAddresses.filter { (_, address) -> address.port != 0 }) {
        nameByAddress.put(address, name)?.let { reader.fault("addresses.$name", "same address as addresses.$it: $address") }
    }
    return addresses
}

private fun readLimits(reader: SettingsReader): NodeLimits {
    val defaults = DEFAULTS.limits
    return NodeLimits(
        maxHeaderBytes = reader.int("limits.max_header_bytes", defaults.maxHeaderBytes, 1_024..1_048_576, "bytes"),
        maxInitialLineBytes = reader.int("limits.max_initial_line_bytes", defaults.maxInitialLineBytes, 256..65_536, "bytes"),
        maxRequestBodyBytes = reader.int("limits.max_request_body_bytes", defaults.maxRequestBodyBytes, 0..67_108_864, "bytes"),
        maxBufferedResponseBytes =
            reader.int("limits.max_buffered_response_bytes", defaults.maxBufferedResponseBytes, 0..16_777_216, "bytes"),
        headerTimeoutMs = reader.int("limits.header_timeout_ms", defaults.headerTimeoutMs, 100..120_000, "milliseconds"),
        maxConnections = reader.int("limits.max_connections", defaults.maxConnections, 1..1_000_000, "connections"),
        maxConnectionsPerTarget =
            reader.int("limits.max_connections_per_target", defaults.maxConnectionsPerTarget, 1..10_000, "connections"),
        maxKeys = reader.int("limits.max_keys", defaults.maxKeys, 1..10_000_000, "keys"),
        eventLoopThreads = reader.int("limits.event_loop_threads", defaults.eventLoopThreads, 1..64, "threads"),
    )
}

private fun readTls(reader: SettingsReader): TlsSettings? {
    val files =
        listOf("tls.certificate_file", "tls.key_file", "tls.authority_file").associateWith { reader.optionalString(it) }
    if (!reader.hasTable("tls")) return null
    files.filterValues { it == null }.keys.forEach { reader.fault(it, "required key is missing, because table tls is present") }
    return TlsSettings(
        certificateFile = files["tls.certificate_file"].orEmpty(),
        keyFile = files["tls.key_file"].orEmpty(),
        authorityFile = files["tls.authority_file"].orEmpty(),
    )
}

private fun readTracing(reader: SettingsReader): TracingSettings {
    val defaults = DEFAULTS.tracing
    return TracingSettings(
        samplePercent = reader.int("tracing.sample_percent", defaults.samplePercent, 0..100, "percent"),
        ringSpans = reader.int("tracing.ring_spans", defaults.ringSpans, 16..1_000_000, "spans"),
        otlpEndpoint = reader.optionalString("tracing.otlp_endpoint", form = URL_PATTERN, expected = "an http or https URL"),
        otlpAuthorization = reader.optionalSecret("tracing.otlp_authorization"),
    )
}
