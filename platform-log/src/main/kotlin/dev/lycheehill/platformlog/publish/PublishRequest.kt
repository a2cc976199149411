package dev.lycheehill.platformlog.publish

/**
 * A patch to publish.
 *
 * @property file name of the patch file, for messages.
 * @property base version that the patch is written against. Null means the current version of the node, and states that
 * this text has not been published against it before. To publish a patch again, name its base.
 */
data class PublishRequest(
    val text: String,
    val author: String = "",
    val file: String = "patch",
    val base: PatchBase? = null,
)
