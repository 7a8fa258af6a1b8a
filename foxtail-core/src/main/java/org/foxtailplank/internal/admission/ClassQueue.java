package org.foxtailplank.internal.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Queued requests of one class, scheduled by weighted fair queueing between teams. */
final class ClassQueue<T> {

    private final ToDoubleFunction<String> mQuotas;
    private final Map<String, TeamQueue<T>> mTeams = new HashMap<>();
    private double mVirtualTime;
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

    void add(QueuedRequest<T> request) {
        TeamQueue<T> team =
                mTeams.computeIfAbsent(
                        request.team(), t -> new TeamQueue<>(mQuotas.applyAsDouble(t)));
        if (team.requests().isEmpty()) {
            team.advanceTo(mVirtualTime);
        }
        team.requests().addLast(request);
        mSize++;
    }

    /** Removes and returns the next request, or null if there is none. */
    QueuedRequest<T> take() {
        TeamQueue<T> next = null;
        for (TeamQueue<T> t : mTeams.values()) {
            if (!t.requests().isEmpty() && (next == null || t.virtualTime() < next.virtualTime())) {
                next = t;
            }
        }
        if (next == null) {
            return null;
        }
        mVirtualTime = next.virtualTime();
        next.advance();
        mSize--;
        return next.requests().removeFirst();
    }

    /** Estimates the number of requests served before a new request of a team. */
    double requestsAhead(String team) {
        TeamQueue<T> own = mTeams.get(team);
        if (own == null || own.requests().isEmpty()) {
            return Math.min(mSize, activeTeams());
        }
        return Math.min(mSize, own.requests().size() / share(own));
    }

    /** Returns whether a team's part of the queue exceeds its quota. */
    boolean overQuota(String team) {
        TeamQueue<T> own = mTeams.get(team);
        return own != null && activeTeams() > 1 && own.requests().size() > mSize * share(own);
    }

    /** Updates the size and drops idle teams, so that arbitrary team names don't accumulate. */
    void expiredRemoved(int removed) {
        mSize -= removed;
        mTeams.values().removeIf(t -> t.requests().isEmpty());
    }

    private long activeTeams() {
        return mTeams.values().stream().filter(t -> !t.requests().isEmpty()).count();
    }

    private double share(TeamQueue<T> own) {
        double total = 0;
        for (TeamQueue<T> t : mTeams.values()) {
            if (!t.requests().isEmpty()) {
                total += t.quota();
            }
        }
        return total == 0 ? 1 : own.quota() / total;
    }
}
