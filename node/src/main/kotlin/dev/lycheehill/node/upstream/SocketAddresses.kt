package dev.lycheehill.node.upstream

import java.net.InetSocketAddress

/** Parses an address of the form `ip:port`, as member records contain it. */
internal fun socketAddressOf(address: String) = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
