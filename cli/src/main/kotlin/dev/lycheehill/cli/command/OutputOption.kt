package dev.lycheehill.cli.command

import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.TextRenderer
import picocli.CommandLine.Option
import java.io.PrintWriter

/** Option that selects the output format, text or JSON. */
class OutputOption {
    @Option(names = ["--json"], description = ["Print one JSON document instead of text."])
    var json: Boolean = false

    /** Prints [document] to [out] in the selected format. */
    fun print(
        document: JsonNode,
        out: PrintWriter,
    ) {
        out.println(if (json) document.toString() else TextRenderer.render(document))
        out.flush()
    }
}
