package dev.lycheehill.calls.verdict

/** Reason for which a call is not tried again. [headerValue] is sent in the header `lycheehill-reason`. */
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
