package dev.lycheehill.config.home

/** Bounds of home epochs. They are part of the fold: all nodes must use the same values. */
object HomeLimits {
    /** Members of one epoch. A voucher round asks each of them. */
    const val MAX_MEMBERS: Int = 64

    /** Longest name of a domain, in characters. */
    const val MAX_DOMAIN_CHARS: Int = 128

    /** Domains with homes; one for each route that takes keys. */
    const val MAX_DOMAINS: Int = 16_384
}
