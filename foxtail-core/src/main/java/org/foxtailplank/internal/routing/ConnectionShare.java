package org.foxtailplank.internal.routing;

/**
 * Connections that one entry may hold to one instance.
 *
 * <p>An instance accepts a fixed number of connections from all entries together. While entries are
 * being replaced, each old one and its successor may both hold theirs, so the shares of all entries
 * add up to less than half of that number.
 *
 * @param near connections to an instance in the entry's own zone
 * @param far connections to an instance in another zone
 */
public record ConnectionShare(int near, int far) {

    private static final int OVERLAP = 2;

    /**
     * Shares out the connections of an instance.
     *
     * @param connections connections that the instance accepts
     * @param nearEntries entries in the instance's zone
     * @param farEntries entries in other zones
     */
    public static ConnectionShare of(int connections, int nearEntries, int farEntries) {
        int budget = (connections - 1) / OVERLAP;
        int entries = Math.max(1, nearEntries + farEntries);
        int equal = budget / entries;
        int far = Math.max(1, equal * 2 / 3);
        int near = Math.max(1, (budget - far * farEntries) / Math.max(1, nearEntries));
        return new ConnectionShare(near, far);
    }
}
