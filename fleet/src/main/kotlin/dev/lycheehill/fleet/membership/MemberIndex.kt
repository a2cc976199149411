package dev.lycheehill.fleet.membership

import java.nio.ByteBuffer

/** Encodes the hashes by which two tables compare their records: 8 bytes for each. */
internal object MemberIndex {
    private const val ENTRY_BYTES = 2 * Int.SIZE_BYTES

    fun encode(records: List<MemberRecord>): ByteArray {
        val buffer = ByteBuffer.allocate(records.size * ENTRY_BYTES)
        records.forEach { buffer.putInt(MemberTable.idHash(it.nodeId)).putInt(MemberTable.recordHash(it)) }
        return buffer.array()
    }

    /** Returns the hash of the record by the hash of the node id. An incomplete last entry is ignored. */
    fun decode(bytes: ByteArray): Map<Int, Int> {
        val buffer = ByteBuffer.wrap(bytes)
        val result = HashMap<Int, Int>()
        while (buffer.remaining() >= ENTRY_BYTES) result[buffer.getInt()] = buffer.getInt()
        return result
    }
}
