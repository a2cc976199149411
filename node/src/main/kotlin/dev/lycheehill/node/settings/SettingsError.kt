package dev.lycheehill.node.settings

/** All faults that were found in one settings file. */
data class SettingsError(
    val faults: List<SettingsFault>,
) {
    override fun toString(): String = faults.joinToString("\n")
}
