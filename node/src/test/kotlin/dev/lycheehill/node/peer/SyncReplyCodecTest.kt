package dev.lycheehill.node.peer

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.store.SyncReply
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class SyncReplyCodecTest {
    private val codec = SyncReplyCodec()
    private val members =
        List(89) {
            MemberRecord(
                "node-$it",
                1_772_134_401_086 + it,
                MemberState.READY,
                "lakes-a",
                "great-lakes",
                "orders",
                "10.0.0.$it:1",
                "10.0.0.$it:2",
            )
        }

    private fun content(routes: Int) =
        ConfigContent(
            services = mapOf("orders" to Service("orders")),
            routes = List(routes) { Route("r-$it", pathPrefix = "/orders/$it/", weights = mapOf("orders" to 100)) }.associateBy { it.name },
        )

    /** Guards against a node that adopts other data than the responding node has. */
    @Test
    fun `decoding an encoded reply returns the same reply, with and without configuration and members`() {
        listOf(
            SyncReply(7, content(3), members),
            SyncReply(7, null, members),
            SyncReply(7, content(3), emptyList()),
            SyncReply(0, null, emptyList()),
        ).forEach { expectThat(codec.decode(codec.encode(it))) isEqualTo it }
    }

    /** Guards against an older configuration in a reply, because its compressed bytes were kept from an earlier reply. */
    @Test
    fun `a newer configuration replaces the compressed bytes of the earlier one`() {
        codec.encode(SyncReply(1, content(1), emptyList()))
        expectThat(codec.decode(codec.encode(SyncReply(2, content(2), emptyList()))).content) isEqualTo content(2)
    }

    /** Guards against replies that saturate the network link of a small instance, 7 Mbit/s, while a large configuration changes. */
    @Test
    fun `the configuration of a thousand routes and all members takes less than 40 ms of a small link`() {
        val bytes = codec.encode(SyncReply(7, content(1_100), members)).size
        expectThat(bytes * 8 / 7_000).describedAs("ms on the link").isLessThan(40)
    }

    /** Guards against a damaged reply whose decoding throws an exception that stops the node. */
    @Test
    fun `decoding a damaged reply throws a SerializationException`() {
        val complete = codec.encode(SyncReply(7, content(3), members))
        listOf(byteArrayOf(), complete.copyOf(complete.size - 20), complete.clone().also { it.fill(7, 40, 80) }).forEach {
            assertThrows<SerializationException> { codec.decode(it) }
        }
    }
}
