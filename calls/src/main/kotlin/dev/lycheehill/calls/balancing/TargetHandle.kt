package dev.lycheehill.calls.balancing

/** A chosen target. Valid for [TargetPicker.onFinish] even after the target has left the table. */
interface TargetHandle {
    /** State of the target at the last update. */
    val info: TargetInfo
}
