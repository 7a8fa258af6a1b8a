package org.foxtailplank.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Chooses whom to send the next heartbeats to, within a budget of bytes.
 *
 * <p>While the budget reaches for all peers each of them gets every heartbeat. Beyond that the
 * peers take turns in an order that is shuffled anew each round, so that none is left out for
 * longer than a round.
 *
 * @param <T> what stands for a peer
 */
public final class HeartbeatPlan<T> {

    private final int mBytesPerTick;
    private final int mMinFanOut;
    private final Random mRandom;
    private final List<T> mRound = new ArrayList<>();

    public HeartbeatPlan(int bytesPerTick, int minFanOut, Random random) {
        mBytesPerTick = bytesPerTick;
        mMinFanOut = minFanOut;
        mRandom = random;
    }

    /** The peers of this tick. */
    public List<T> next(Collection<T> peers, int bytesEach) {
        int fanOut = fanOut(peers.size(), bytesEach);
        List<T> chosen = new ArrayList<>(fanOut);
        mRound.retainAll(peers);
        while (chosen.size() < fanOut) {
            if (mRound.isEmpty()) {
                startRound(peers, chosen);
            }
            chosen.add(mRound.remove(mRound.size() - 1));
        }
        return chosen;
    }

    /** Number of peers that a tick reaches. */
    public int fanOut(int peers, int bytesEach) {
        int affordable = Math.max(mMinFanOut, mBytesPerTick / Math.max(1, bytesEach));
        return Math.min(peers, affordable);
    }

    private void startRound(Collection<T> peers, List<T> chosen) {
        mRound.addAll(peers);
        mRound.removeAll(chosen);
        Collections.shuffle(mRound, mRandom);
    }
}
