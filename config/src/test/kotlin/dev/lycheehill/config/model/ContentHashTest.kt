package dev.lycheehill.config.model

import dev.lycheehill.config.RandomContent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class ContentHashTest {
    /** Guards against nodes that disagree on the hash of a version, or that take two contents for the same. */
    @ParameterizedTest
    @ValueSource(ints = [21, 22])
    fun `equal contents in any order have equal hashes and different contents have different ones`(seed: Int) {
        println("seed $seed")
        val random = Random(seed)
        val contents = List(500) { RandomContent.of(random) }.toSet()
        contents.forEach { content ->
            val shuffled =
                ConfigContent(
                    services =
                        content.services.entries
                            .shuffled(random)
                            .associate { it.toPair() },
                    routes =
                        content.routes.entries
                            .shuffled(random)
                            .associate { it.toPair() },
                )
            expectThat(ContentHash.of(shuffled)).isEqualTo(ContentHash.of(content))
        }
        expectThat(contents.map(ContentHash::of).toSet().size).isEqualTo(contents.size)
    }
}
