package dev.lycheehill.node.dialect

/** What a response of a backend server means for the request that was sent. */
enum class BackendResponseKind {
    /** The backend server ran the request and this is its answer. */
    RAN,

    /** The backend server states that it did not run the request. */
    NOT_RUN,

    /** The response belongs to another request, so the answer may still follow. */
    OTHER_REQUEST,

    /** The response cannot be the backend server's answer. */
    INVALID,
}
