package org.foxtailplank.internal.routing;

/** Health of an instance according to its health checks. */
public enum Health {
    /** Accepts requests. */
    SERVING,
    /** Drains: completes pending requests and accepts no new ones. */
    LEAVING,
    /** Doesn't respond to health checks. */
    SILENT
}
