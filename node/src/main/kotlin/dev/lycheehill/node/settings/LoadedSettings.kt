package dev.lycheehill.node.settings

/**
 * Settings read from a file, together with the effective value of each key.
 *
 * @property effective all known keys in the order of the schema, with the default of each key that the file does not contain.
 */
class LoadedSettings<T>(
    val settings: T,
    val effective: List<EffectiveSetting>,
) {
    /** Returns the effective values as TOML. Secrets are masked, and a key without a value is written as a comment. */
    fun render(): String =
        effective
            .groupBy { it.table }
            .map { (table, values) -> renderTable(table, values) }
            .joinToString("\n")

    private fun renderTable(
        table: String,
        values: List<EffectiveSetting>,
    ): String {
        val header = if (values.any { it.value != null }) "[$table]" else "# table $table is not present"
        return (listOf(header) + values.map { it.render() }).joinToString("\n", postfix = "\n")
    }
}
