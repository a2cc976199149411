package dev.lycheehill.config.snapshot

/** Reason why a snapshot is not used. */
enum class SnapshotError(
    val message: String,
) {
    INCOMPLETE("parts are missing"),
    MIXED("parts belong to different snapshots"),
    CORRUPT("the bytes do not have the stated checksum or are no snapshot"),
    INCONSISTENT("the state contradicts itself"),
    TOO_LARGE("the snapshot has more parts than permitted"),
    OLDER("the snapshot is not newer than the node's own state"),
    DIVERGED("the snapshot has another history than the node"),
}
