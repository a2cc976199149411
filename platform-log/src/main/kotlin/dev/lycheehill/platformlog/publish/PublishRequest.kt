package dev.lycheehill.platformlog.publish

/**
 * Request to publish a patch.
 *
 * @property text patch in TOML.
 * @property author name of the author, recorded with the patch.
 * @property file name of the patch file, used in error messages.
 * @property base base version of the patch. Null stands for the current version of the node, and states that the same text
 *   has not been published against that version before. To publish a patch again, state its base version.
 */
data class PublishRequest(
    val text: String,
    val author: String = "",
    val file: String = "patch",
    val base: PatchBase? = null,
)
