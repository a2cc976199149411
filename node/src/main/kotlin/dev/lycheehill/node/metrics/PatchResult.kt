package dev.lycheehill.node.metrics

/** Outcome of one folded patch. */
enum class PatchResult { ACCEPTED, REFUSED }
