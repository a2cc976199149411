package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict

/**
 * How the home of an idempotency key answered a call with that key: it executed the call, returned the stored response, or
 * refused the call with one of the three verdicts.
 */
enum class KeyedAnswer {
    EXECUTED,
    STORED,
    RAN,
    MAY_HAVE_RUN,
    NOT_RUN,
    ;

    companion object {
        /** Returns the value for a call that was not executed now and was answered with [verdict]. */
        fun of(verdict: Verdict): KeyedAnswer =
            when (verdict) {
                Verdict.RAN -> RAN
                Verdict.MAY_HAVE_RUN -> MAY_HAVE_RUN
                Verdict.NOT_RUN -> NOT_RUN
            }
    }
}
