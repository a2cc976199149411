package dev.lycheehill.cli.client

import java.net.http.HttpClient
import java.time.Duration

/** Creates all HTTP clients of the command line. */
object HttpClients {
    /**
     * Lets requests of this process set the header `Host`, as the callers in the demo do.
     *
     * The JDK reads the property once, when the first client of the process is created, so this must come before that.
     */
    fun allowHostHeader() {
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
