package dev.lycheehill.node.metrics

/** Outcome of one patch on this node. */
enum class PatchResult { ACCEPTED, REFUSED }
