package org.foxtailplank.port;

/** What came of an order to a worker. */
public enum OrderOutcome {
    /** Carried out, now or before. */
    DONE,
    /** A later owner has given orders; nothing was done. */
    FENCED,
    /** The run is not newer than one that was stopped or has ended there. */
    OUTDATED,
    /** The lease that the order names is over already. */
    LEASE_OVER,
    /** It does not fit. */
    NO_ROOM,
    /** The ticket is missing or no longer good. */
    NO_TICKET,
    /** The worker does not understand the order. */
    INVALID,
    /** The worker is unhealthy and has done nothing. */
    UNHEALTHY,
    /** Another life answers at this address: the one that was meant is over. */
    OTHER_LIFE,
    /** No connection; nothing was sent. */
    NOT_SENT,
    /** No answer: the order may be carried out, also some seconds later. */
    UNANSWERED
}
