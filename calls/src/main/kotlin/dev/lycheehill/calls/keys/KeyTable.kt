package dev.lycheehill.calls.keys

/**
 * Hash table of keys and their states with open addressing and linear probing; 23 bytes per slot. Not thread-safe.
 *
 * Keys are removed only by [remove] and [expire]. The table never evicts a key for another one.
 */
internal class KeyTable(
    private val maxKeys: Int,
    private val startWallMs: Long,
) {
    private var high = LongArray(0)
    private var low = LongArray(0)
    private var recordedSeconds = IntArray(0)
    private var states = ByteArray(0)
    private var domains = ShortArray(0)

    var size = 0
        private set

    init {
        allocate(FIRST_CAPACITY)
    }

    val isFull: Boolean get() = size >= maxKeys

    /** Returns the state of [key], or null if the key is unknown. */
    fun state(key: KeyHash): KeyState? = STATES[states[slotOf(key)].toInt()]

    /** Adds [key] or changes its state. Returns false and changes nothing if the key is new and the table is full. */
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
            recordedSeconds[slot] = secondsOf(wallMs)
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

    /** Removes the keys that were recorded before [beforeWallMs], except keys in progress. */
    fun expire(beforeWallMs: Long) {
        val beforeSeconds = secondsOf(beforeWallMs)
        var slot = 0
        while (slot < states.size) {
            val expired = states[slot] != FREE && recordedSeconds[slot] < beforeSeconds && states[slot] != RUNNING
            // A removal can move another key into this slot, so the slot is checked again.
            if (expired) removeSlot(slot) else slot++
        }
    }

    /** Calls [action] with each key of [domain], its state, and the time on the wall clock in milliseconds at which it was recorded. */
    fun forEach(
        domain: Int,
        action: (KeyHash, KeyState, Long) -> Unit,
    ) {
        for (slot in states.indices) {
            val state = STATES[states[slot].toInt()] ?: continue
            if (domains[slot].toInt() == domain) action(KeyHash(high[slot], low[slot]), state, startWallMs + recordedSeconds[slot] * 1_000L)
        }
    }

    private fun slotOf(key: KeyHash): Int {
        var slot = firstProbeSlot(key.high)
        while (states[slot] != FREE && (low[slot] != key.low || high[slot] != key.high)) slot = next(slot)
        return slot
    }

    private fun firstProbeSlot(hash: Long): Int = Math.floorMod(hash, states.size)

    private fun next(slot: Int): Int = if (slot + 1 == states.size) 0 else slot + 1

    // Moves later keys of the cluster back, so that no probe ends early at the freed slot.
    private fun removeSlot(start: Int) {
        var free = start
        var slot = next(start)
        while (states[slot] != FREE) {
            val firstProbe = firstProbeSlot(high[slot])
            val isProbedAcrossFree = if (free <= slot) firstProbe <= free || firstProbe > slot else firstProbe <= free && firstProbe > slot
            if (isProbedAcrossFree) {
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
        recordedSeconds[to] = recordedSeconds[from]
        states[to] = states[from]
        domains[to] = domains[from]
    }

    private fun grow() {
        val old = listOf(high, low)
        val (oldSeconds, oldStates, oldDomains) = Triple(recordedSeconds, states, domains)
        allocate(minOf(oldStates.size * 2, maxOf(maxKeys * 3 / 2 + 2, oldStates.size + 1)))
        for (slot in oldStates.indices) {
            if (oldStates[slot] == FREE) continue
            val target = slotOf(KeyHash(old[0][slot], old[1][slot]))
            high[target] = old[0][slot]
            low[target] = old[1][slot]
            recordedSeconds[target] = oldSeconds[slot]
            states[target] = oldStates[slot]
            domains[target] = oldDomains[slot]
        }
    }

    private fun allocate(capacity: Int) {
        high = LongArray(capacity)
        low = LongArray(capacity)
        recordedSeconds = IntArray(capacity)
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
