package dev.lycheehill.platformlog.keyed

/** A topic of keyed records. */
enum class KeyedTopic {
    /** The operator's configuration; lycheehill only reads it. */
    CONFIGURATION,

    /** One record a node with the state of the node and its target. */
    MEMBERS,
}
