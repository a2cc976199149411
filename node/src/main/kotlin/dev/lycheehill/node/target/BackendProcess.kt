package dev.lycheehill.node.target

/**
 * One process of a backend server.
 *
 * @property instanceId name that the process chose; a later process may choose the same name. Empty if not stated.
 * @property startedAtMs wall time of its start in milliseconds since the Unix epoch; 0 if unknown.
 */
internal data class BackendProcess(
    val instanceId: String,
    val startedAtMs: Long,
) {
    /** Returns whether [other] is the same process, as far as the start times of both are known. */
    fun isSameAs(other: BackendProcess): Boolean =
        instanceId == other.instanceId && (startedAtMs == other.startedAtMs || startedAtMs == 0L || other.startedAtMs == 0L)

    companion object {
        /** Returns the process that [registration] describes. */
        fun of(registration: TargetRegistration) = BackendProcess(registration.instanceId, registration.startedAtMs)
    }
}
