package dev.lycheehill.fleet.membership

import java.nio.ByteBuffer

/** Binary encoding of the hashes by which two nodes compare member records: 8 bytes per record. */
internal object MemberIndex {
    private const val ENTRY_BYTES = 2 * Int.SIZE_BYTES

    /** Encodes the hash of the node id and the hash of the record, for each of [records]. */
    fun encode(records: List<MemberRecord>): ByteArray {
        val buffer = ByteBuffer.allocate(records.size * ENTRY_BYTES)
        records.forEach { buffer.putInt(MemberTable.idHash(it.nodeId)).putInt(MemberTable.recordHash(it)) }
        return buffer.array()
    }

    /** Returns the hash of each record by the hash of its node id. An incomplete last entry is ignored. */
    fun decode(bytes: ByteArray): Map<Int, Int> {
        val buffer = ByteBuffer.wrap(bytes)
        val result = HashMap<Int, Int>()
        while (buffer.remaining() >= ENTRY_BYTES) result[buffer.getInt()] = buffer.getInt()
        return result
    }
}
