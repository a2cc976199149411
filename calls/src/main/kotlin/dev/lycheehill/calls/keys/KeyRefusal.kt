package dev.lycheehill.calls.keys

/** Reason for which a keyed request does not run. [headerValue] is sent in the header `lycheehill-reason`. */
enum class KeyRefusal(
    val headerValue: String,
) {
    NO_EPOCH("key-domain-unknown"),
    NOT_HOME("key-home-elsewhere"),
    NO_VOUCHERS("key-home-without-majority"),
    HOME_CHANGING("key-home-changing"),
    KEY_AHEAD("key-time-ahead"),
    TABLE_FULL("key-table-full"),
    KEY_TOO_OLD("key-older-than-horizon"),
    RECORD_LOST("key-record-may-be-lost"),
    IN_PROGRESS("key-in-progress"),
    REPEATED("key-repeated"),
}
