package dev.lycheehill.standins.log

import arrow.core.Either
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import dev.lycheehill.platformlog.memory.LogFaults

/**
 * Encodes and decodes the JSON body of `/v1/faults`.
 *
 * An absent key means that the fault is not injected. For a number, null means the same.
 */
internal object FaultsJson {
    private const val OUTAGE = "outage"
    private const val DELAY_MS = "delay_ms"
    private const val LOSE_ANSWERS = "lose_answers"
    private const val MAX_APPENDS_PER_S = "max_appends_per_s"
    private const val RETAIN_RECORDS = "retain_records"
    private val keys = listOf(OUTAGE, DELAY_MS, LOSE_ANSWERS, MAX_APPENDS_PER_S, RETAIN_RECORDS)
    private val mapper = ObjectMapper()

    /** Decodes the faults to inject. Returns an error message if [body] is not valid. */
    fun decode(body: ByteArray): Either<String, LogFaults> =
        try {
            parse(mapper.readTree(body))
        } catch (e: JsonProcessingException) {
            Either.Left(e.originalMessage)
        }

    fun encode(faults: LogFaults): ByteArray =
        mapper.writeValueAsBytes(
            mapper
                .createObjectNode()
                .put(OUTAGE, faults.outage)
                .put(DELAY_MS, faults.delayMs)
                .put(LOSE_ANSWERS, faults.loseResponses)
                .put(MAX_APPENDS_PER_S, faults.maxAppendsPerS)
                .put(RETAIN_RECORDS, faults.retainRecords),
        )

    fun encodeError(message: String): ByteArray = mapper.writeValueAsBytes(mapper.createObjectNode().put("error", message))

    private fun parse(root: JsonNode): Either<String, LogFaults> {
        if (!root.isObject) return Either.Left("the body must be a JSON object")
        val error =
            root.fieldNames().asSequence().firstNotNullOfOrNull { key ->
                when {
                    key !in keys -> "unknown key $key"
                    key == OUTAGE || key == LOSE_ANSWERS -> "$key must be true or false".takeUnless { root[key].isBoolean }
                    else -> "$key must be a whole number of at least 0".takeUnless { root[key].isNullOrNonNegativeInt() }
                }
            }
        return error?.let { Either.Left(it) } ?: Either.Right(toLogFaults(root))
    }

    private fun toLogFaults(root: JsonNode) =
        LogFaults(
            outage = root.path(OUTAGE).asBoolean(),
            delayMs = root.path(DELAY_MS).asLong(),
            loseResponses = root.path(LOSE_ANSWERS).asBoolean(),
            maxAppendsPerS = root.limit(MAX_APPENDS_PER_S),
            retainRecords = root.limit(RETAIN_RECORDS),
        )

    private fun JsonNode.isNullOrNonNegativeInt(): Boolean = isNull || (isIntegralNumber && canConvertToInt() && intValue() >= 0)

    private fun JsonNode.limit(key: String): Int? = path(key).takeIf { it.isNumber }?.intValue()
}
