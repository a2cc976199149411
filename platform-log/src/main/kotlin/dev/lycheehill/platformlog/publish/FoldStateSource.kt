package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.fold.FoldState

/** Provides the fold state that a node serves. */
fun interface FoldStateSource {
    /** Returns the current state. The version never decreases between successive calls. */
    fun foldState(): FoldState
}
