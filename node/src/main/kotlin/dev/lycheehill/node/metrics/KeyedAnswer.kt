package dev.lycheehill.node.metrics

/** Answer of a home to a call with an idempotency key. */
enum class KeyedAnswer { EXECUTED, STORED, RAN, MAY_HAVE_RUN, NOT_RUN }
