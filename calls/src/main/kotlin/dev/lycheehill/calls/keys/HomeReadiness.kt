package dev.lycheehill.calls.keys

/** Tells whether a member may execute requests with a key now. */
internal sealed interface HomeReadiness {
    /** Another member is the home of the key; [homeId] is null if there is no home. */
    data class NotHome(
        val homeId: String?,
    ) : HomeReadiness

    /** The member does not hold valid vouchers of a majority. */
    data object NoVouchers : HomeReadiness

    /** The previous home of the key may still execute requests. */
    data object PreviousHomeActive : HomeReadiness

    /** The member may execute requests with unknown keys newer than [boundMs], or with any unknown key if [boundMs] is null. */
    data class Ready(
        val boundMs: Long?,
    ) : HomeReadiness
}
