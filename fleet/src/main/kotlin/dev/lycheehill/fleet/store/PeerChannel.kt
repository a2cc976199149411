package dev.lycheehill.fleet.store

/** Messages between nodes. Sending does not block, and beacons may be lost. */
interface PeerChannel {
    /** Receives beacons. */
    var onHeartbeat: (PeerHeartbeat) -> Unit

    /** Answers the requests of other nodes. */
    var onRequest: (SyncRequest) -> SyncReply

    /** Sends [heartbeat] to the nodes at [addresses], written as `ip:port`. */
    fun send(
        addresses: List<String>,
        heartbeat: PeerHeartbeat,
    )

    /** Asks the node at [address]. The listener gets null when no answer came. */
    fun ask(
        address: String,
        request: SyncRequest,
        listener: (SyncReply?) -> Unit,
    )
}
