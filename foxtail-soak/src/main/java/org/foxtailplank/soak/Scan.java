package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What one promise has noted while it goes through a history. */
final class Scan {
    private final RunsSeen mRuns = new RunsSeen();
    private final RoutesSeen mRoutes = new RoutesSeen();
    private final Set<String> mNoted = new HashSet<>();
    private final Map<String, Long> mSince = new HashMap<>();
    private final Map<String, Long> mCounts = new HashMap<>();
    private final List<Violation> mViolations = new ArrayList<>();

    RunsSeen runs() {
        return mRuns;
    }

    RoutesSeen routes() {
        return mRoutes;
    }

    void note(String name) {
        mNoted.add(name);
    }

    boolean isNoted(String name) {
        return mNoted.contains(name);
    }

    Set<String> noted() {
        return mNoted;
    }

    void since(String name, long value) {
        mSince.put(name, value);
    }

    Map<String, Long> sinceAll() {
        return mSince;
    }

    Optional<Long> since(String name) {
        return Optional.ofNullable(mSince.get(name));
    }

    long count(String name, long more) {
        return mCounts.merge(name, more, Long::sum);
    }

    void broken(SoakEvent event, String text) {
        broken(event.atMs(), text);
    }

    void broken(long atMs, String text) {
        mViolations.add(new Violation(atMs, text));
    }

    List<Violation> violations() {
        return mViolations;
    }
}
