package org.foxtailplank.node;

import java.util.HashMap;
import java.util.Map;

/** Names of a limited number of objects in metrics; all further objects share one name. */
public final class MetricNames {
    private static final String OTHERS = "others";

    private final int mLimit;
    private final Map<String, String> mNames = new HashMap<>();

    /**
     * Creates the names.
     *
     * @param limit most objects with names of their own
     */
    public MetricNames(int limit) {
        mLimit = limit;
    }

    /** Returns the name in metrics, in which other characters would break the text format. */
    public String of(String name) {
        if (!mNames.containsKey(name) && mNames.size() >= mLimit) {
            return OTHERS;
        }
        return mNames.computeIfAbsent(name, n -> n.replaceAll("[^A-Za-z0-9-]", "_"));
    }
}
