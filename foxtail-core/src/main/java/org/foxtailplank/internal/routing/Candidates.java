package org.foxtailplank.internal.routing;

import java.util.Arrays;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.foxtailplank.id.VmId;

/**
 * The instances of one service in or out of the entry's zone that may get a request now.
 *
 * <p>Instances enter and leave in constant time, so a choice never searches past those that are
 * full, ejected or gone.
 */
final class Candidates {

    static final int NOWHERE = -1;
    private static final int FIRST_SIZE = 8;

    private Target[] mOpen = new Target[FIRST_SIZE];
    private int mSize;

    /** Puts an instance in or takes it out, as its state asks for. */
    void place(Target t) {
        if (t.open() == (t.place() != NOWHERE)) {
            return;
        }
        if (t.open()) {
            if (mSize == mOpen.length) {
                mOpen = Arrays.copyOf(mOpen, 2 * mSize);
            }
            t.place(mSize);
            mOpen[mSize++] = t;
            return;
        }
        Target last = mOpen[--mSize];
        mOpen[mSize] = null;
        if (last != t) {
            mOpen[t.place()] = last;
            last.place(t.place());
        }
        t.place(NOWHERE);
    }

    boolean isEmpty() {
        return mSize == 0;
    }

    /** The cheaper of two drawn at random among those not tried yet; null when there is none. */
    Target draw(Set<VmId> tried, RandomGenerator random) {
        Target a = drawOne(tried, random);
        if (a == null || mSize == 1) {
            return a;
        }
        Target b = drawOne(tried, random);
        return b.cost() < a.cost() ? b : a;
    }

    private Target drawOne(Set<VmId> tried, RandomGenerator random) {
        if (mSize == 0) {
            return null;
        }
        int first = random.nextInt(mSize);
        int steps = Math.min(mSize, tried.size() + 1);
        for (int i = 0; i < steps; i++) {
            Target t = mOpen[(first + i) % mSize];
            if (tried.isEmpty() || !tried.contains(t.server().vm())) {
                return t;
            }
        }
        return null;
    }
}
