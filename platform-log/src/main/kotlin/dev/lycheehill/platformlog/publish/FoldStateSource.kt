package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.fold.FoldState

/** Supplies the fold state that a node serves. */
fun interface FoldStateSource {
    /** Returns the current state; successive calls never return a lower version. */
    fun foldState(): FoldState
}
