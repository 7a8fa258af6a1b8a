package org.foxtailplank.organisation;

import java.util.Set;

/**
 * An organisation whose callers submit jobs.
 *
 * @param name unique name
 * @param keys API keys of its callers; secrets, which {@link #toString} omits
 * @param weight jobs a second that it is entitled to, and its share if there is too little capacity
 *     for all
 * @param cap limit on the resources that its tasks hold at a time, over all services
 */
public record Organisation(String name, Set<String> keys, double weight, ResourceCap cap) {
    /** Name of no organisation: that of jobs submitted without a key. */
    public static final String NONE = "";

    public Organisation {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("an organisation has no name");
        }
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("weight of " + name + " is " + weight);
        }
        keys = Set.copyOf(keys);
    }

    @Override
    public String toString() {
        return "Organisation[name="
                + name
                + ", keys="
                + keys.size()
                + ", weight="
                + weight
                + ", cap="
                + cap
                + "]";
    }
}
