package dev.lycheehill.calls.balancing

/** Immutable view of the targets of a service that a pick reads. */
internal class PickTable(
    val all: Array<TargetState>,
    zone: String,
) {
    val active: Array<TargetState> = all.filterNot { it.ejection.isEjected }.toTypedArray()
    val ejected: Array<TargetState> = all.filter { it.ejection.isEjected }.toTypedArray()
    val local: Array<TargetState> = active.filter { it.info.zone == zone }.toTypedArray()
    val localSlots: Int = local.sumOf { it.info.slots }
    val maxWeight: Int = all.maxOfOrNull { it.info.weight } ?: 1
}
