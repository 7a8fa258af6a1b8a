package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.adapter.standin.UsersStandin;

/** Routes that the operator adds and drops, each once. */
final class SoakRoutes {
    private static final int IN_FORCE = 3;
    private static final int REMEMBERED = 2;

    private final UsersStandin mPlatform;
    private final SoakHistory mHistory;
    private int mAdded;

    SoakRoutes(UsersStandin platform, SoakHistory history) {
        mPlatform = platform;
        mHistory = history;
    }

    private static String name(int number) {
        return "route-" + number;
    }

    /** Adds a route and drops the oldest one if there are enough. */
    synchronized void change() {
        int added = mAdded++;
        int oldest = Math.max(0, mAdded - IN_FORCE);
        List<String> names = new ArrayList<>();
        for (int r = oldest; r < mAdded; r++) {
            names.add(name(r));
        }
        mPlatform.setPublicRoutes(
                names,
                () -> {
                    mHistory.add(t -> new SoakEvent.RouteChanged(t, name(added), true));
                    if (oldest > 0) {
                        mHistory.add(t -> new SoakEvent.RouteChanged(t, name(oldest - 1), false));
                    }
                });
    }

    /** A route that is in force, was dropped lately, or is the next one to be added. */
    synchronized String any(Random random) {
        int first = Math.max(0, mAdded - IN_FORCE - REMEMBERED);
        return name(first + random.nextInt(mAdded + 1 - first));
    }
}
