package dev.lycheehill.cli.command

import dev.lycheehill.node.settings.HostPort
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** Reads an address from the command line. */
class HostPortConverter : ITypeConverter<HostPort> {
    override fun convert(value: String): HostPort =
        HostPort.parseOrNull(value) ?: throw TypeConversionException("expected an address such as 127.0.0.1:7103, found '$value'")
}
