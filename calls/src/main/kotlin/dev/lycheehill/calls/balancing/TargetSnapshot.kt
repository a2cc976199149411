package dev.lycheehill.calls.balancing

/** Immutable snapshot of the targets of a service, which a pick reads without a lock. */
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
