package dev.lycheehill.config.log

/** Record that contains or fences one patch. */
sealed interface PatchScopedRecord : ConfigRecord {
    /** Id of the patch. */
    val patchId: String
}
