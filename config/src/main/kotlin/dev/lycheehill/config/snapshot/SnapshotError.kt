package dev.lycheehill.config.snapshot

/** Reason why a snapshot is not written or not applied. */
enum class SnapshotError(
    val message: String,
) {
    INCOMPLETE("parts of the snapshot are missing or occur twice"),
    MIXED("parts belong to different snapshots"),
    CORRUPT("the bytes do not match the checksum or are not a snapshot"),
    INCONSISTENT("the state in the snapshot is inconsistent"),
    TOO_LARGE("the snapshot has more parts than permitted"),
    OLDER("the snapshot is not newer than the node's own state"),
    DIVERGED("the history of the snapshot differs from the history of the node"),
}
