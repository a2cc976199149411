package dev.lycheehill.node.settings

/** Text that no log line, message or print-out shows. */
class Secret(
    private val value: String,
) {
    /** Returns the text itself. */
    fun reveal(): String = value

    override fun toString(): String = MASK

    override fun equals(other: Any?): Boolean = other is Secret && other.value == value

    override fun hashCode(): Int = value.hashCode()

    companion object {
        /** Printed in place of a secret. */
        const val MASK = "***"
    }
}
