package dev.lycheehill.calls.keys

/** Tells whether a member may execute requests with a key now. */
internal sealed interface HomeReadiness {
    /** Another member is the home of the key; [homeId] is null if there is no home. */
    data class NotHome(
        val homeId: String?,
    ) : HomeReadiness

    /** The member does not hold valid vouchers (see [KeyDomainMember]) of a majority of the members. */
    data object NoVouchers : HomeReadiness

    /** The previous home of the key may still execute requests. */
    data object PreviousHomeMayBeActive : HomeReadiness

    /**
     * The member may execute requests with keys that it has not recorded and whose time is later than [boundMs], in milliseconds
     * since the Unix epoch. If [boundMs] is null, the member may execute requests with any key that it has not recorded.
     */
    data class Ready(
        val boundMs: Long?,
    ) : HomeReadiness
}
