package org.foxtailplank.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Chooses whom to send the next heartbeats to and how much they tell, within a budget of bytes.
 *
 * <p>While the budget reaches for all peers, each of them gets every heartbeat. Beyond that the
 * peers take turns in an order that is shuffled anew each round, and heartbeats tell what was heard
 * of the others, so that news still reaches everybody soon.
 *
 * @param <T> what stands for a peer
 */
public final class HeartbeatPlan<T> {

    /** Bytes that a heartbeat grows by for each member it tells of. */
    public static final int BYTES_PER_NEWS = 6;

    /** Headers of IP and TCP for a message and for the acknowledgement that TCP sends. */
    private static final int PACKET_BYTES = 104;

    /** Enough for a path that is cut in one direction, where each peer is heard by itself. */
    private static final int FEW_NEWS = 2;

    private static final int MAX_NEWS = 100;
    private static final int SPREAD_FACTOR = 4;

    private final Duration mHeartbeat;
    private final double mBytesPerTick;
    private final Random mRandom;
    private final List<T> mRound = new ArrayList<>();
    private double mCredit;

    public HeartbeatPlan(Duration heartbeat, int bytesPerSecond, Random random) {
        mHeartbeat = heartbeat;
        mBytesPerTick = bytesPerSecond * seconds(heartbeat);
        mRandom = random;
    }

    /** The peers of a regular heartbeat, where one without news has so many bytes. */
    public List<T> next(Set<T> peers, int bytesEach) {
        int bytes = bytes(bytesEach, newsLimit(peers.size(), bytesEach));
        mCredit = Math.min(mCredit + mBytesPerTick, 2 * mBytesPerTick);
        int fanOut = reachesAll(peers.size(), bytesEach) ? peers.size() : (int) (mCredit / bytes);
        List<T> chosen = choose(peers, Math.max(1, fanOut));
        spend(chosen.size() * bytes);
        return chosen;
    }

    /** Peers to tell something at once; later heartbeats make up for the bytes. */
    public List<T> atOnce(Set<T> peers, int count, int bytesEach) {
        List<T> chosen = choose(peers, count);
        spend(chosen.size() * bytes(bytesEach, 0));
        return chosen;
    }

    /** How many members a regular heartbeat tells of. */
    public int newsLimit(int peers, int bytesEach) {
        return reachesAll(peers, bytesEach) ? FEW_NEWS : Math.min(peers, MAX_NEWS);
    }

    /**
     * Time that news may take from one node to all others beyond the direct way.
     *
     * <p>News that each node tells on at a rate reaches all in about twice the logarithm of their
     * number over that rate; twice that is allowed.
     */
    public Duration spread(int peers, int bytesEach) {
        if (peers == 0 || reachesAll(peers, bytesEach)) {
            return Duration.ZERO;
        }
        int bytes = bytes(bytesEach, newsLimit(peers, bytesEach));
        double messagesPerSecond = Math.max(1, mBytesPerTick / bytes) / seconds(mHeartbeat);
        double spread = SPREAD_FACTOR * Math.log(peers) / messagesPerSecond;
        return Duration.ofMillis((long) (spread * 1_000));
    }

    private boolean reachesAll(int peers, int bytesEach) {
        return peers * bytes(bytesEach, FEW_NEWS) <= mBytesPerTick;
    }

    private static int bytes(int bytesEach, int news) {
        return PACKET_BYTES + bytesEach + BYTES_PER_NEWS * news;
    }

    private void spend(int bytes) {
        mCredit = Math.max(mCredit - bytes, -mBytesPerTick);
    }

    private List<T> choose(Set<T> peers, int count) {
        int wanted = Math.min(count, peers.size());
        List<T> chosen = new ArrayList<>(wanted);
        mRound.retainAll(peers);
        while (chosen.size() < wanted) {
            if (mRound.isEmpty()) {
                startRound(peers, chosen);
            }
            chosen.add(mRound.remove(mRound.size() - 1));
        }
        return chosen;
    }

    private void startRound(Set<T> peers, List<T> chosen) {
        mRound.addAll(peers);
        mRound.removeAll(chosen);
        Collections.shuffle(mRound, mRandom);
    }

    private static double seconds(Duration time) {
        return time.toNanos() / 1e9;
    }
}
