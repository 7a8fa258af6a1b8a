package org.foxtailplank.id;

/**
 * Name of a team with quotas.
 *
 * @param value the name, never blank
 */
public record TeamId(String value) implements Comparable<TeamId> {

    public TeamId {
        Names.check(value, "team");
    }

    /** Reads a team name from text. */
    public static TeamId of(String value) {
        return new TeamId(value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
