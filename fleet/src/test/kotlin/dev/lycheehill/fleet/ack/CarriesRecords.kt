package dev.lycheehill.fleet.ack

import dev.lycheehill.fleet.message.PeerMessage

/** Whether this message transfers configuration records or a snapshot. */
val PeerMessage.carriesRecords: Boolean get() = this is PeerMessage.Records || this is PeerMessage.SnapshotPart
