package dev.lycheehill.calls.keys

/**
 * Keys and their states in open addressing with linear probing, 23 bytes a slot. Keys are removed only by [remove] and
 * by [expire], never to make room. Not thread-safe.
 */
internal class KeyTable(
    private val maxKeys: Int,
    private val startWallMs: Long,
) {
    private var high = LongArray(0)
    private var low = LongArray(0)
    private var seconds = IntArray(0)
    private var states = ByteArray(0)
    private var domains = ShortArray(0)

    var size = 0
        private set

    init {
        allocate(FIRST_CAPACITY)
    }

    val isFull: Boolean get() = size >= maxKeys

    fun state(key: KeyHash): KeyState? = STATES[states[slotOf(key)].toInt()]

    /** Adds or changes a key. Returns false, with nothing changed, if the key is new and the table is full. */
    fun put(
        key: KeyHash,
        domain: Int,
        state: KeyState,
        wallMs: Long,
    ): Boolean {
        var slot = slotOf(key)
        if (states[slot] == FREE) {
            if (isFull) return false
            if ((size + 1) * 3L > states.size * 2L) grow()
            slot = slotOf(key)
            high[slot] = key.high
            low[slot] = key.low
            seconds[slot] = secondsOf(wallMs)
            domains[slot] = domain.toShort()
            size++
        }
        states[slot] = (state.ordinal + 1).toByte()
        return true
    }

    fun remove(key: KeyHash) {
        val slot = slotOf(key)
        if (states[slot] != FREE) removeSlot(slot)
    }

    /** Removes the keys recorded before [beforeWallMs], except those in progress. */
    fun expire(beforeWallMs: Long) {
        val before = secondsOf(beforeWallMs)
        var slot = 0
        while (slot < states.size) {
            val expired = states[slot] != FREE && seconds[slot] < before && states[slot] != RUNNING
            // A removal can move another key into the slot, which is then looked at again.
            if (expired) removeSlot(slot) else slot++
        }
    }

    /** Calls [action] with each key of [domain], its state and the wall time at which it was recorded. */
    fun forEach(
        domain: Int,
        action: (KeyHash, KeyState, Long) -> Unit,
    ) {
        for (slot in states.indices) {
            val state = STATES[states[slot].toInt()] ?: continue
            if (domains[slot].toInt() == domain) action(KeyHash(high[slot], low[slot]), state, startWallMs + seconds[slot] * 1_000L)
        }
    }

    private fun slotOf(key: KeyHash): Int {
        var slot = homeSlot(key.high)
        while (states[slot] != FREE && (low[slot] != key.low || high[slot] != key.high)) slot = next(slot)
        return slot
    }

    private fun homeSlot(hash: Long): Int = Math.floorMod(hash, states.size)

    private fun next(slot: Int): Int = if (slot + 1 == states.size) 0 else slot + 1

    // Moves later keys of the same run back, so that no probe ends early at the freed slot.
    private fun removeSlot(start: Int) {
        var free = start
        var slot = next(start)
        while (states[slot] != FREE) {
            val home = homeSlot(high[slot])
            val reachesOverFree = if (free <= slot) home <= free || home > slot else home <= free && home > slot
            if (reachesOverFree) {
                copySlot(slot, free)
                free = slot
            }
            slot = next(slot)
        }
        states[free] = FREE
        size--
    }

    private fun copySlot(
        from: Int,
        to: Int,
    ) {
        high[to] = high[from]
        low[to] = low[from]
        seconds[to] = seconds[from]
        states[to] = states[from]
        domains[to] = domains[from]
    }

    private fun grow() {
        val old = listOf(high, low)
        val (oldSeconds, oldStates, oldDomains) = Triple(seconds, states, domains)
        allocate(minOf(oldStates.size * 2, maxOf(maxKeys * 3 / 2 + 2, oldStates.size + 1)))
        for (slot in oldStates.indices) {
            if (oldStates[slot] == FREE) continue
            val target = slotOf(KeyHash(old[0][slot], old[1][slot]))
            high[target] = old[0][slot]
            low[target] = old[1][slot]
            seconds[target] = oldSeconds[slot]
            states[target] = oldStates[slot]
            domains[target] = oldDomains[slot]
        }
    }

    private fun allocate(capacity: Int) {
        high = LongArray(capacity)
        low = LongArray(capacity)
        seconds = IntArray(capacity)
        states = ByteArray(capacity)
        domains = ShortArray(capacity)
    }

    private fun secondsOf(wallMs: Long): Int = Math.floorDiv(wallMs - startWallMs, 1_000L).toInt()

    private companion object {
        const val FIRST_CAPACITY = 1_024
        const val FREE: Byte = 0
        val RUNNING = (KeyState.RUNNING.ordinal + 1).toByte()
        val STATES: Array<KeyState?> = arrayOf(null, *KeyState.entries.toTypedArray())
    }
}
