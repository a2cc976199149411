package dev.lycheehill.fleet.membership

import kotlin.random.Random

/** Set of strings that returns a uniformly random element in constant time. Not thread-safe. */
internal class IndexedSet {
    private val items = ArrayList<String>()
    private val positions = HashMap<String, Int>()

    val size: Int get() = items.size

    val values: List<String> get() = items

    operator fun contains(item: String): Boolean = item in positions

    fun add(item: String) {
        if (item in positions) return
        positions[item] = items.size
        items += item
    }

    fun remove(item: String) {
        val position = positions.remove(item) ?: return
        val last = items.removeLast()
        if (last == item) return
        items[position] = last
        positions[last] = position
    }

    fun random(random: Random): String? = if (items.isEmpty()) null else items[random.nextInt(items.size)]
}
