package dev.lycheehill.node.settings

/**
 * Settings together with the values that are in effect.
 *
 * @property effective every known key in the order of the schema, with defaults filled in.
 */
class LoadedSettings<T>(
    val settings: T,
    val effective: List<EffectiveSetting>,
) {
    /** Renders the values in effect as TOML. Secrets are masked; a key without a value is a comment. */
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
