package dev.lycheehill.cli.demo

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.util.Random

/** Guards against keys with a wrong timestamp: nodes decide by the timestamp whether the request of a key may run. */
class UuidV7Test {
    @Test
    fun `a key contains its version, its variant and its time of creation`() {
        val wallMillis = 1_764_820_800_123L
        val uuid = UuidV7(Random(1)).next(wallMillis)

        expectThat(uuid.version()).isEqualTo(7)
        expectThat(uuid.variant()).isEqualTo(2)
        expectThat(uuid.mostSignificantBits ushr 16).isEqualTo(wallMillis)
    }

    @Test
    fun `keys created in the same millisecond differ`() {
        val source = UuidV7(Random(1))

        expectThat(List(1_000) { source.next(1) }.toSet()).hasSize(1_000)
    }
}
