package dev.lycheehill.config.model

import dev.lycheehill.config.RandomContent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class ContentHashTest {
    /** Guards against nodes that compute different hashes of one version, and against equal hashes of two configurations. */
    @ParameterizedTest
    @ValueSource(ints = [21, 22])
    fun `the hash does not depend on the order of entries and differs between different configurations`(seed: Int) {
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
