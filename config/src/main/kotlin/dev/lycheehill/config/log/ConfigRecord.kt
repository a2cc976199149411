package dev.lycheehill.config.log

/** One record of stream `config` in the format of this release. */
sealed interface ConfigRecord {
    /** Id of the patch that the record carries or fences. */
    val patchId: String
}
