package dev.lycheehill.platformlog.memory

import dev.lycheehill.platformlog.keyed.KeyedRecord

/** Content of one topic of an [InMemoryKeyedStore] at one moment. */
internal class TopicSnapshot(
    val firstOffset: Long,
    val records: List<KeyedRecord>,
    val newest: Map<String, KeyedRecord>,
)
