package dev.lycheehill.node.metrics

/** Direction of a message between nodes, as seen from this node. */
enum class ControlDirection { SENT, RECEIVED }
