package org.foxtailplank.port;

/** Outcome of a command to a worker. */
public enum CommandOutcome {
    /** Executed, by this or an earlier request. */
    DONE,
    /** Rejected: the worker has seen a higher fencing token. */
    FENCED,
    /** Rejected: the same or a later attempt was stopped or has ended on this worker. */
    OUTDATED,
    /** Rejected: the lease in the command has expired. */
    LEASE_OVER,
    /** Rejected: the worker lacks the resources. */
    NO_ROOM,
    /** Rejected: the placement ticket is missing or has expired. */
    NO_TICKET,
    /** Rejected: the worker can't parse the command. */
    INVALID,
    /** Rejected: the worker is unhealthy. */
    UNHEALTHY,
    /** The worker at this address has another ID: the addressed one has restarted or is gone. */
    OTHER_LIFE,
    /** The connection failed; nothing was sent. */
    NOT_SENT,
    /** No response: the command may have been executed, or may still be executed later. */
    UNANSWERED
}
