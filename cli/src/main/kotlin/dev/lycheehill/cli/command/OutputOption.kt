package dev.lycheehill.cli.command

import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.TextRenderer
import picocli.CommandLine.Option
import java.io.PrintWriter

/** Option that chooses between text and JSON. */
class OutputOption {
    @Option(names = ["--json"], description = ["Print one JSON document instead of text."])
    var json: Boolean = false

    /** Prints [document] as JSON or as text. */
    fun print(
        document: JsonNode,
        out: PrintWriter,
    ) {
        out.println(if (json) document.toString() else TextRenderer.render(document))
        out.flush()
    }
}
