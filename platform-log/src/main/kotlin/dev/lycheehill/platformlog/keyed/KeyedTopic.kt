package dev.lycheehill.platformlog.keyed

/** Topic of keyed records at the store. */
enum class KeyedTopic {
    /** Configurations, written by the operator and only read by lycheehill. */
    CONFIGURATION,

    /** Member records: one record for each node, with the state of the node and of its target. */
    MEMBERS,
}
