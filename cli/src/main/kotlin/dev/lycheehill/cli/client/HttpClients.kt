package dev.lycheehill.cli.client

import java.net.http.HttpClient
import java.time.Duration

/** Creates all HTTP clients of the command line. */
object HttpClients {
    init {
        // The JDK reads this once, when the first client is created. Callers in the demo set the header Host.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
    }

    /** Returns a client for HTTP/1.1. */
    fun create(connectTimeout: Duration): HttpClient =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(connectTimeout)
            .build()
}
