package dev.lycheehill.fleet

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireBroadcast

/** Callbacks of [FleetCore], called on the control thread. */
internal interface FleetEvents {
    fun onConfig(state: FoldState)

    fun onMember(record: MemberRecord)

    fun onServing(serving: Boolean)

    fun onBroadcastReceived(broadcast: WireBroadcast)

    fun onRequest(
        from: PeerAddress,
        message: PeerMessage.Request,
    )

    fun onResponse(message: PeerMessage.Response)
}
