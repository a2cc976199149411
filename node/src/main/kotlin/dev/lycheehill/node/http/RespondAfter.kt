package dev.lycheehill.node.http

/** Runs [record] and then [respond], so that a caller gets its response even if the end of its call cannot be recorded. */
internal inline fun respondAfter(
    record: () -> Unit,
    respond: () -> Unit,
) = try {
    record()
} finally {
    respond()
}
