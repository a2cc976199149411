package dev.lycheehill.config.diff

import arrow.core.flatMap
import dev.lycheehill.config.RandomContent
import dev.lycheehill.config.model.ContentHash
import dev.lycheehill.config.patch.PatchParser
import dev.lycheehill.config.patch.applyTo
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random

class PatchWriterTest {
    /** Guards against a revert that does not restore the earlier configuration exactly. */
    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13])
    fun `a written patch turns the first configuration into the second`(seed: Int) {
        println("seed $seed")
        val random = Random(seed)
        repeat(200) {
            val from = RandomContent.of(random)
            val to = RandomContent.of(random)
            val text = PatchWriter.write(from, to)
            if (from == to) {
                expectThat(text).isEmpty()
            } else {
                val result = PatchParser.parse(text).flatMap { it.applyTo(from) }.getOrNull()
                expectThat(result).isEqualTo(to)
                expectThat(ContentHash.of(result!!)).isEqualTo(ContentHash.of(to))
            }
        }
    }
}
