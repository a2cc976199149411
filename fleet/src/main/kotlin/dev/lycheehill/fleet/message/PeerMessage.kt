package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message between nodes. Type and field names on the wire are short because each message contains them. */
@Serializable
sealed interface PeerMessage {
    /** First message on a connection. [address] is the address of the sender's own link, to which answers are sent. */
    @Serializable
    @SerialName("he")
    data class Hello(
        @SerialName("a") val address: String,
    ) : PeerMessage

    /** Probe of the failure detector. */
    @Serializable
    @SerialName("pi")
    data class Ping(
        @SerialName("s") val sequence: Long,
        @SerialName("m") val members: List<WireMember> = emptyList(),
    ) : PeerMessage

    /** Answer to [Ping]. */
    @Serializable
    @SerialName("ak")
    data class Ack(
        @SerialName("s") val sequence: Long,
        @SerialName("m") val members: List<WireMember> = emptyList(),
    ) : PeerMessage

    /** Requests that the receiver probes [target] and forwards the answer. */
    @Serializable
    @SerialName("pr")
    data class IndirectPing(
        @SerialName("s") val sequence: Long,
        @SerialName("t") val target: String,
        @SerialName("m") val members: List<WireMember> = emptyList(),
    ) : PeerMessage

    /** Changed member records and broadcasts. */
    @Serializable
    @SerialName("go")
    data class Gossip(
        @SerialName("m") val members: List<WireMember> = emptyList(),
        @SerialName("f") val broadcasts: List<WireBroadcast> = emptyList(),
    ) : PeerMessage

    /** Request of a joining node for the whole member table. */
    @Serializable
    @SerialName("jo")
    data class Join(
        @SerialName("m") val member: WireMember,
    ) : PeerMessage

    /**
     * Position in stream `config` and hash of the member table of the sender, sent periodically to one peer.
     *
     * [memberHash] is null while the sender's table changes.
     */
    @Serializable
    @SerialName("di")
    data class Digest(
        @SerialName("o") val nextOffset: Long,
        @SerialName("h") val chain: Long,
        @SerialName("m") val memberHash: Int? = null,
    ) : PeerMessage

    /** Hash of each bucket of the sender's member table. */
    @Serializable
    @SerialName("bh")
    class BucketHashes(
        @SerialName("b") val hashes: IntArray,
    ) : PeerMessage

    /** Hash of the node id and hash of the record, 32 bits each, for each member record in [buckets]. */
    @Serializable
    @SerialName("bi")
    class BucketIndex(
        @SerialName("b") val buckets: List<Int>,
        @SerialName("x") val index: ByteArray,
    ) : PeerMessage

    /**
     * Member records that the receiver may lack.
     *
     * @property wanted hashes of the node ids whose records the sender requests.
     * @property joining whether the message is part of the whole table for a joining node.
     */
    @Serializable
    @SerialName("ms")
    data class MemberSync(
        @SerialName("m") val members: List<WireMember>,
        @SerialName("w") val wanted: List<Int> = emptyList(),
        @SerialName("j") val joining: Boolean = false,
    ) : PeerMessage

    /** Position of the sender, which holds the records below [nextOffset]. [chain] is the prefix of their chain hash. */
    @Serializable
    @SerialName("an")
    data class Announce(
        @SerialName("o") val nextOffset: Long,
        @SerialName("h") val chain: Long,
    ) : PeerMessage

    /** Request for the records from [fromOffset] on. [chain] is the prefix of the sender's chain hash. */
    @Serializable
    @SerialName("rr")
    data class RecordsRequest(
        @SerialName("o") val fromOffset: Long,
        @SerialName("h") val chain: Long,
    ) : PeerMessage

    /** Consecutive records; empty when the sender cannot extend the receiver's chain. */
    @Serializable
    @SerialName("re")
    data class Records(
        @SerialName("r") val records: List<WireRecord>,
    ) : PeerMessage

    /** Request for part [part] of the snapshot at [nextOffset]. */
    @Serializable
    @SerialName("sr")
    data class SnapshotRequest(
        @SerialName("o") val nextOffset: Long,
        @SerialName("p") val part: Int,
    ) : PeerMessage

    /** Part [part] of the [parts] parts of the snapshot at [nextOffset]. */
    @Serializable
    @SerialName("sp")
    class SnapshotPart(
        @SerialName("o") val nextOffset: Long,
        @SerialName("p") val part: Int,
        @SerialName("n") val parts: Int,
        @SerialName("b") val bytes: ByteArray,
    ) : PeerMessage

    /** Refusal of a request because the sender serves no further transfers. The receiver may retry after [retryAfterMs]. */
    @Serializable
    @SerialName("bu")
    data class Busy(
        @SerialName("r") val retryAfterMs: Long,
    ) : PeerMessage

    /** Summary of the subtree of [nodeId], sent to its parent in the acknowledgement tree. */
    @Serializable
    @SerialName("za")
    data class ZoneAck(
        @SerialName("n") val nodeId: String,
        @SerialName("s") val summary: ZoneSummary,
    ) : PeerMessage

    /** Request for the summary of a zone, sent to the root of the zone. */
    @Serializable
    @SerialName("sq")
    data object StatusRequest : PeerMessage

    /** Summary of a whole zone, sent by its root. */
    @Serializable
    @SerialName("zs")
    data class ZoneStatus(
        @SerialName("s") val summary: ZoneSummary,
    ) : PeerMessage

    /** Request from another module of the sender to the same module of the receiver. */
    @Serializable
    @SerialName("rq")
    class Request(
        @SerialName("i") val id: Long,
        @SerialName("n") val nodeId: String,
        @SerialName("t") val topic: String,
        @SerialName("b") val bytes: ByteArray,
    ) : PeerMessage

    /** Answer to [Request]; [bytes] is null when the receiver has no handler or the handler failed. */
    @Serializable
    @SerialName("rs")
    class Response(
        @SerialName("i") val id: Long,
        @SerialName("b") val bytes: ByteArray?,
    ) : PeerMessage
}
