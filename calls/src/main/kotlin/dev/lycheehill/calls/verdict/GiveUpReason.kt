package dev.lycheehill.calls.verdict

/** Why a call is not tried again; [headerValue] is sent in `lycheehill-reason`. */
enum class GiveUpReason(
    val headerValue: String,
) {
    ANSWERED("answered"),
    MAY_HAVE_RUN("may-have-run"),
    DEADLINE("deadline"),
    ATTEMPTS("attempts-used"),
    ALLOWANCE("retry-allowance-used"),
    BUDGET("retry-budget-used"),
    REFUSED("refused"),
}
