package org.foxtailplank.internal.routing;

/** What an instance says of itself. */
public enum Health {
    /** It takes requests. */
    SERVING,
    /** It finishes what it has and takes nothing new. */
    LEAVING,
    /** It does not answer. */
    SILENT
}
