package dev.lycheehill.fleet.store

/** Transport for messages between nodes. Calls do not block, and heartbeats may be lost. */
interface PeerChannel {
    /** Handler of received heartbeats. */
    var onHeartbeat: (PeerHeartbeat) -> Unit

    /** Handler that answers requests of other nodes. */
    var onRequest: (SyncRequest) -> SyncReply

    /** Sends [heartbeat] to the nodes at [addresses], written as `ip:port`. */
    fun send(
        addresses: List<String>,
        heartbeat: PeerHeartbeat,
    )

    /** Sends [request] to the node at [address], written as `ip:port`. [listener] receives the reply, or null when there is none. */
    fun ask(
        address: String,
        request: SyncRequest,
        listener: (SyncReply?) -> Unit,
    )
}
