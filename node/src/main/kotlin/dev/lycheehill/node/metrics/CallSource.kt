package dev.lycheehill.node.metrics

/** Who sent a call to the node. */
enum class CallSource {
    /** Callers beside the node. */
    CALLERS,

    /** Other nodes. */
    NODES,
    ;

    /** Name in logs and metrics. */
    val label: String = name.lowercase()
}
