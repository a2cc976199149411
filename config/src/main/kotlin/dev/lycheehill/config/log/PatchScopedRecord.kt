package dev.lycheehill.config.log

/** A record that carries or fences one patch. */
sealed interface PatchScopedRecord : ConfigRecord {
    /** Id of the patch. */
    val patchId: String
}
