package dev.lycheehill.node.upstream

import java.net.InetSocketAddress

/** Address of a peer, from the form `ip:port` in which members announce theirs. */
internal fun socketAddressOf(address: String) = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
