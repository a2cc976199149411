package dev.lycheehill.node.settings

/** A secret text, which [toString] masks so that no log line, message or printed setting shows it. */
class Secret(
    private val value: String,
) {
    /** Returns the secret text. */
    fun reveal(): String = value

    override fun toString(): String = MASK

    override fun equals(other: Any?): Boolean = other is Secret && other.value == value

    override fun hashCode(): Int = value.hashCode()

    companion object {
        /** Text that is printed in place of a secret. */
        const val MASK = "***"
    }
}
