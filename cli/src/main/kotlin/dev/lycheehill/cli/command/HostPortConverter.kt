package dev.lycheehill.cli.command

import dev.lycheehill.node.settings.HostPort
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** Converts a command line argument of the form `host:port` to an address. */
class HostPortConverter : ITypeConverter<HostPort> {
    override fun convert(value: String): HostPort =
        HostPort.parseOrNull(value) ?: throw TypeConversionException("expected an address such as 127.0.0.1:7103, found '$value'")
}
