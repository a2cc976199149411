package dev.lycheehill.cli.client

import java.net.http.HttpClient
import java.time.Duration

/** Factory of the HTTP clients of the command line. */
object HttpClients {
    /**
     * Allows requests of this process to set the header `Host`, as the callers of the demo do.
     *
     * The JDK reads the system property once, when the process creates its first HTTP client. Call this function before that.
     */
    fun allowHostHeader() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
    }

    /** Creates a client for HTTP/1.1. */
    fun create(connectTimeout: Duration): HttpClient =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(connectTimeout)
            .build()
}
