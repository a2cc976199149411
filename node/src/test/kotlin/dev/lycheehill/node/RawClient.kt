package dev.lycheehill.node

import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/** Blocking HTTP/1.1 client that sends arbitrary text, also malformed requests, and reads one response at a time. */
class RawClient(
    address: InetSocketAddress,
    receiveBufferBytes: Int? = null,
) : AutoCloseable {
    private val socket =
        Socket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            connect(InetSocketAddress(address.address, address.port))
            soTimeout = READ_TIMEOUT_MS
        }
    private val input: InputStream = socket.getInputStream().buffered()

    fun call(
        method: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
        body: String = "",
    ): RawResponse {
        send(request(method, path, headers, body))
        return read(method)
    }

    fun send(text: String) {
        socket.getOutputStream().apply { write(text.toByteArray(Charsets.ISO_8859_1)) }.flush()
    }

    /** Reads one response. [RawResponse.isComplete] is false if the connection closed before the end of the response. */
    fun read(method: String = "GET"): RawResponse {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (lines.isEmpty()) return RawResponse(0, emptyMap(), "", isComplete = false)
        val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val bytes = ByteArrayOutputStream()
        val isComplete =
            method == "HEAD" || if (headers["transfer-encoding"] == "chunked") readChunks(bytes) else readLength(headers, bytes)
        return RawResponse(lines.first().split(' ')[1].toInt(), headers, bytes.toString(Charsets.UTF_8), isComplete)
    }

    fun isClosedByPeer(): Boolean = input.read() < 0

    /** Ends the requests without closing the connection. */
    fun shutdownOutput() = socket.shutdownOutput()

    override fun close() = socket.close()

    private fun readLength(
        headers: Map<String, String>,
        into: ByteArrayOutputStream,
    ): Boolean = copyBytes(headers["content-length"]?.toInt() ?: 0, into)

    private fun readChunks(into: ByteArrayOutputStream): Boolean {
        while (true) {
            val size = readLine()?.takeIf { it.isNotEmpty() }?.toInt(16) ?: return false
            if (!copyBytes(size, into) || readLine() == null) return false
            if (size == 0) return true
        }
    }

    private fun copyBytes(
        size: Int,
        into: ByteArrayOutputStream,
    ): Boolean {
        val bytes = input.readNBytes(size)
        into.write(bytes)
        return bytes.size == size
    }

    private fun readLine(): String? {
        val line = ByteArrayOutputStream()
        while (true) {
            val next = input.read()
            if (next < 0) return line.toString(Charsets.ISO_8859_1).takeIf { it.isNotEmpty() }
            if (next == '\n'.code) return line.toString(Charsets.ISO_8859_1).trimEnd('\r')
            line.write(next)
        }
    }

    companion object {
        private const val READ_TIMEOUT_MS = 20_000

        fun request(
            method: String,
            path: String,
            headers: Map<String, String> = emptyMap(),
            body: String = "",
        ): String {
            val length = if (body.isEmpty()) emptyMap() else mapOf("content-length" to "${body.length}")
            val lines = (mapOf("host" to "mesh") + headers + length).map { (name, value) -> "$name: $value\r\n" }
            return "$method $path HTTP/1.1\r\n${lines.joinToString("")}\r\n$body"
        }
    }
}
