package dev.lycheehill.node.dialect

/** Kind of a backend server's response with regard to the request that was sent. */
enum class BackendResponseKind {
    /** The backend server executed the request, and this is its response. */
    RAN,

    /** The backend server states that the request was not executed. */
    NOT_RUN,

    /** The response belongs to another request; the response to this request may still follow. */
    OTHER_REQUEST,

    /** The response is not a valid response of the backend server. */
    INVALID,
}
