package dev.lycheehill.calls.keys

/** Whether a member may execute the requests of a key now. */
internal sealed interface HomeReadiness {
    /** Another member is the home. */
    data class NotHome(
        val homeId: String?,
    ) : HomeReadiness

    /** A majority of the members has not vouched within the lease. */
    data object NoVouchers : HomeReadiness

    /** The home before may still execute. */
    data object Waiting : HomeReadiness

    /** An unknown key may run if it is newer than [boundMs]; any unknown key may run if [boundMs] is null. */
    data class Ready(
        val boundMs: Long?,
    ) : HomeReadiness
}
