package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict

/** Answer of a home to a call with an idempotency key. */
enum class KeyedAnswer {
    EXECUTED,
    STORED,
    RAN,
    MAY_HAVE_RUN,
    NOT_RUN,
    ;

    companion object {
        /** Answer of a call that did not run now and has [verdict]. */
        fun of(verdict: Verdict): KeyedAnswer =
            when (verdict) {
                Verdict.RAN -> RAN
                Verdict.MAY_HAVE_RUN -> MAY_HAVE_RUN
                Verdict.NOT_RUN -> NOT_RUN
            }
    }
}
