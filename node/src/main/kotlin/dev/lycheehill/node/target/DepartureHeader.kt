package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.Departure

/** Format of the `lh-leaving` header: instance id and start time of a process, as in `i-7f3a91c2,1770170813000`. */
internal object DepartureHeader {
    private const val FIELD_COUNT = 2

    fun format(departure: Departure): String = "${departure.instanceId},${departure.bornMs}"

    /** Returns the parsed header, or null if [value] is malformed. */
    fun parse(value: String): Departure? {
        val fields = value.split(',')
        if (fields.size != FIELD_COUNT || fields[0].isEmpty()) return null
        return fields[1].toLongOrNull()?.let { Departure(fields[0], it) }
    }
}
