package dev.lycheehill.node.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * The SLF4J provider for Logback, with the configuration of [StructuredLogs].
 *
 * Replaces Logback's own provider, which searches for configurators and reports each step as text: this takes more of the
 * startup time of a process than the logging itself.
 */
class StructuredLogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = mdc
        StructuredLogs.configure(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = API_VERSION

    companion object {
        private const val API_VERSION = "2.0.99"
        private const val PROVIDER_PROPERTY = "slf4j.provider"
        private const val VERBOSITY_PROPERTY = "slf4j.internal.verbosity"

        /** Makes SLF4J use this provider in this process. Must be called before the first logger is created. */
        fun install() {
            System.setProperty(PROVIDER_PROPERTY, StructuredLogProvider::class.java.name)
            System.setProperty(VERBOSITY_PROPERTY, "WARN")
        }
    }
}
