package dev.lycheehill.measure.fleet

/**
 * Rate of changes at which a fleet is measured.
 *
 * @property multiple rate of changes as a multiple of the planned rate.
 * @property seconds duration of the measurement.
 */
enum class LoadLevel(
    val multiple: Double,
    val seconds: Int,
) {
    IDLE(0.0, 10),
    PLANNED(1.0, 25),
    TENFOLD(10.0, 10),
}
