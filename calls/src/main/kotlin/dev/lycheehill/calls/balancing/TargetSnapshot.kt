package dev.lycheehill.calls.balancing

/** Immutable view of the targets of a service that a pick reads. */
internal class TargetSnapshot(
    val all: Array<LoadAwareTarget>,
    zone: String,
) {
    val active: Array<LoadAwareTarget> = all.filterNot { it.ejection.isEjected }.toTypedArray()
    val ejected: Array<LoadAwareTarget> = all.filter { it.ejection.isEjected }.toTypedArray()
    val local: Array<LoadAwareTarget> = active.filter { it.info.zone == zone }.toTypedArray()
    val localSlots: Int = local.sumOf { it.info.slots }
    val maxWeight: Int = all.maxOfOrNull { it.info.weight } ?: 1
}
