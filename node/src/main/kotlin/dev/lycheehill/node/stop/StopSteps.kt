package dev.lycheehill.node.stop

/**
 * Runs the steps of a stop. An error of one step is reported, and the next steps still run.
 *
 * @param onError receives the error of a step.
 */
class StopSteps(
    private val onError: (Throwable) -> Unit,
) {
    /** Runs [step] and returns its result, or null after an error. */
    @Suppress("TooGenericExceptionCaught")
    fun <T> run(step: () -> T): T? =
        try {
            step()
        } catch (e: Throwable) {
            // Reporting may fail for the same reason as the step, for example because a class cannot be loaded.
            runCatching { onError(e) }
            null
        }
}
