package dev.lycheehill.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/** Joins the parts of a body without copying them. Not thread-safe. */
internal class BodyBuffer(
    private val allocator: ByteBufAllocator,
) {
    private var whole: ByteBuf = Unpooled.EMPTY_BUFFER

    val sizeBytes: Int get() = whole.readableBytes()

    /** Appends [part] and takes over its reference. */
    fun add(part: ByteBuf) {
        val current = whole
        when {
            !part.isReadable -> part.release()
            current is CompositeByteBuf -> current.addComponent(true, part)
            current.isReadable -> whole = allocator.compositeBuffer(MAX_COMPONENTS).addComponents(true, current, part)
            else -> whole = part
        }
    }

    /** Returns the body and empties this buffer. The caller takes over the reference. */
    fun take(): ByteBuf = whole.also { whole = Unpooled.EMPTY_BUFFER }

    fun release() {
        take().release()
    }

    private companion object {
        // The decoder delivers parts of at most 8 KiB, so the largest body has 1,024 parts.
        const val MAX_COMPONENTS = 1_024
    }
}
