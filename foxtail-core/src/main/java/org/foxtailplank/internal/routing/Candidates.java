package org.foxtailplank.internal.routing;

import java.util.Arrays;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.foxtailplank.id.VmId;

/**
 * Available instances of one service, either inside or outside the entry's zone.
 *
 * <p>Instances are added and removed in constant time, so that selection never scans instances that
 * are full, ejected or down.
 */
final class Candidates {

    static final int NO_INDEX = -1;
    private static final int INITIAL_CAPACITY = 8;

    private Target[] mAvailable = new Target[INITIAL_CAPACITY];
    private int mSize;

    /** Adds or removes an instance according to its availability. */
    void update(Target t) {
        if (t.isAvailable() == (t.index() != NO_INDEX)) {
            return;
        }
        if (t.isAvailable()) {
            if (mSize == mAvailable.length) {
                mAvailable = Arrays.copyOf(mAvailable, 2 * mSize);
            }
            t.setIndex(mSize);
            mAvailable[mSize++] = t;
            return;
        }
        Target last = mAvailable[--mSize];
        mAvailable[mSize] = null;
        if (last != t) {
            mAvailable[t.index()] = last;
            last.setIndex(t.index());
        }
        t.setIndex(NO_INDEX);
    }

    boolean isEmpty() {
        return mSize == 0;
    }

    /** Returns the cheaper of two random untried instances, or null if there is none. */
    Target choose(Set<VmId> tried, RandomGenerator random) {
        Target a = chooseOne(tried, random);
        if (a == null || mSize == 1) {
            return a;
        }
        Target b = chooseOne(tried, random);
        return b.cost() < a.cost() ? b : a;
    }

    private Target chooseOne(Set<VmId> tried, RandomGenerator random) {
        if (mSize == 0) {
            return null;
        }
        int first = random.nextInt(mSize);
        int steps = Math.min(mSize, tried.size() + 1);
        for (int i = 0; i < steps; i++) {
            Target t = mAvailable[(first + i) % mSize];
            if (tried.isEmpty() || !tried.contains(t.server().vm())) {
                return t;
            }
        }
        return null;
    }
}
