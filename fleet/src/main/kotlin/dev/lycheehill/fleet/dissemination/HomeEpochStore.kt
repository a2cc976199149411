package dev.lycheehill.fleet.dissemination

/** Home epochs of the key domains, which travel with the snapshots. Called on the control thread; must not block. */
interface HomeEpochStore {
    /** Returns the current home epochs. */
    fun current(): HomeEpochs

    /** Takes [epochs] if they are newer than the current ones. */
    fun restore(epochs: HomeEpochs)

    /** A store without home epochs. */
    object Empty : HomeEpochStore {
        override fun current(): HomeEpochs = HomeEpochs(ByteArray(0), nextOffset = 0)

        override fun restore(epochs: HomeEpochs) = Unit
    }
}
