package dev.lycheehill.calls.balancing

/** A picked target. Remains valid for [TargetPicker.onFinish] after the target has been removed by an update. */
interface TargetHandle {
    /** Properties of the target as of the last update. */
    val info: TargetInfo
}
