package org.foxtailplank.internal.routing;

/**
 * Limits on the connections from one entry to one instance.
 *
 * <p>An instance accepts a fixed number of connections in total. The shares of all entries add up
 * to less than half of it, because an entry and its replacement may hold connections at the same
 * time.
 *
 * @param sameZone connections to an instance in the entry's zone
 * @param otherZone connections to an instance in another zone
 */
public record ConnectionShare(int sameZone, int otherZone) {

    private static final int OVERLAP = 2;

    /**
     * Divides the connections of an instance among the entries.
     *
     * @param connections connections that the instance accepts
     * @param sameZoneEntries entries in the instance's zone
     * @param otherZoneEntries entries in other zones
     */
    public static ConnectionShare of(int connections, int sameZoneEntries, int otherZoneEntries) {
        int budget = (connections - 1) / OVERLAP;
        int entries = Math.max(1, sameZoneEntries + otherZoneEntries);
        int equalShare = budget / entries;
        int otherZone = Math.max(1, equalShare * 2 / 3);
        int sameZone =
                Math.max(1, (budget - otherZone * otherZoneEntries) / Math.max(1, sameZoneEntries));
        return new ConnectionShare(sameZone, otherZone);
    }
}
