package dev.lycheehill.node.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * The logging library, configured by [StructuredLogs]. Its own provider looks for configurators and describes each step of
 * that in text, which costs the start of a process more than the logging itself.
 */
class StructuredLogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val values = LogbackMDCAdapter()

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = values
        StructuredLogs.configure(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = values

    override fun getRequestedApiVersion(): String = API_VERSION

    companion object {
        private const val API_VERSION = "2.0.99"
        private const val PROPERTY = "slf4j.provider"
        private const val VERBOSITY_PROPERTY = "slf4j.internal.verbosity"

        /** Makes the loggers of this process those of this provider. To be called before the first logger is made. */
        fun install() {
            System.setProperty(PROPERTY, StructuredLogProvider::class.java.name)
            System.setProperty(VERBOSITY_PROPERTY, "WARN")
        }
    }
}
