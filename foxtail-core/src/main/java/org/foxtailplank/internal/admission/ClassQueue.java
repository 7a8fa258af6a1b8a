package org.foxtailplank.internal.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Waiting requests of one class, shared between teams by their quotas. */
final class ClassQueue<T> {

    private final ToDoubleFunction<String> mQuotas;
    private final Map<String, TeamQueue<T>> mTeams = new HashMap<>();
    private double mServed;
    private int mSize;

    ClassQueue(ToDoubleFunction<String> quotas) {
        mQuotas = quotas;
    }

    int size() {
        return mSize;
    }

    Collection<TeamQueue<T>> teams() {
        return mTeams.values();
    }

    void add(Ticket<T> ticket) {
        TeamQueue<T> team =
                mTeams.computeIfAbsent(
                        ticket.team(), t -> new TeamQueue<>(mQuotas.applyAsDouble(t)));
        if (team.tickets().isEmpty()) {
            team.catchUp(mServed);
        }
        team.tickets().addLast(ticket);
        mSize++;
    }

    /** Takes the next request; null when there is none. */
    Ticket<T> take() {
        TeamQueue<T> next = null;
        for (TeamQueue<T> t : mTeams.values()) {
            if (!t.tickets().isEmpty() && (next == null || t.served() < next.served())) {
                next = t;
            }
        }
        if (next == null) {
            return null;
        }
        mServed = next.served();
        next.serve();
        mSize--;
        return next.tickets().removeFirst();
    }

    /** Requests that would be served before one more request of a team. */
    double ahead(String team) {
        TeamQueue<T> own = mTeams.get(team);
        if (own == null || own.tickets().isEmpty()) {
            return Math.min(mSize, busyTeams());
        }
        return Math.min(mSize, own.tickets().size() / share(own));
    }

    /** Whether a team has more waiting than its quota of all that waits. */
    boolean overQuota(String team) {
        TeamQueue<T> own = mTeams.get(team);
        return own != null && busyTeams() > 1 && own.tickets().size() > mSize * share(own);
    }

    /** Forgets teams with nothing waiting, so that made-up names don't pile up. */
    void trim(int removed) {
        mSize -= removed;
        mTeams.values().removeIf(t -> t.tickets().isEmpty());
    }

    private long busyTeams() {
        return mTeams.values().stream().filter(t -> !t.tickets().isEmpty()).count();
    }

    private double share(TeamQueue<T> own) {
        double all = 0;
        for (TeamQueue<T> t : mTeams.values()) {
            if (!t.tickets().isEmpty()) {
                all += t.quota();
            }
        }
        return all == 0 ? 1 : own.quota() / all;
    }
}
