package dev.lycheehill.node.metrics

/** Direction of control traffic as seen from this node. */
enum class ControlDirection { SENT, RECEIVED }
