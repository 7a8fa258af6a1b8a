package org.foxtailplank.node.admission;

import java.util.List;

/** Measures the pools of the services whose admission is on. */
public interface CapacitySource {
    /** Measures nothing. */
    CapacitySource NONE = nowMs -> List.of();

    /** Returns the measurements, with one time for all of them. */
    List<PoolRoom> measure(long nowMs);
}
