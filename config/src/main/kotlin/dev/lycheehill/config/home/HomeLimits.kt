package dev.lycheehill.config.home

/** Bounds of home epochs. All nodes must use the same values, because the bounds determine the result of the fold. */
object HomeLimits {
    /** Most members of one epoch. The bound limits the cost of a voucher round, which asks each member. */
    const val MAX_MEMBERS: Int = 64

    /** Longest name of a key domain, in characters. */
    const val MAX_DOMAIN_CHARS: Int = 128

    /** Most key domains with homes. Each route that accepts idempotency keys has one key domain unless routes share a domain. */
    const val MAX_DOMAINS: Int = 16_384
}
