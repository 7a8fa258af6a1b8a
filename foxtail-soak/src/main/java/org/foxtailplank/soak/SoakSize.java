package org.foxtailplank.soak;

/**
 * How large a run is.
 *
 * @param seconds how long callers come and faults strike
 * @param zones availability zones
 * @param nodes nodes, dealt to the zones in turn
 * @param workers workers, dealt to the zones in turn
 */
public record SoakSize(int seconds, int zones, int nodes, int workers) {
    public SoakSize {
        if (seconds < 1 || zones < 1 || nodes < zones || workers < zones) {
            throw new IllegalArgumentException(
                    "a run takes a second, a zone, and a node and a worker for each zone at least");
        }
    }
}
