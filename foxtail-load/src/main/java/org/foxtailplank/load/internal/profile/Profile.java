package org.foxtailplank.load.internal.profile;

import java.util.List;

/**
 * The traffic of one deployment.
 *
 * @param name name of the profile
 * @param capacityPerSecond requests a second that count as 1 x capacity
 * @param traffic kinds of requests
 * @param faults faults to switch on and off at set times; may be left out
 */
public record Profile(
        String name, double capacityPerSecond, List<Traffic> traffic, List<TimedFault> faults) {

    public Profile {
        traffic = traffic == null ? List.of() : List.copyOf(traffic);
        faults = faults == null ? List.of() : List.copyOf(faults);
        if (traffic.isEmpty()) {
            throw new IllegalArgumentException("profile " + name + " has no traffic");
        }
        if (capacityPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "profile " + name + ": capacityPerSecond must be above 0");
        }
    }
}
