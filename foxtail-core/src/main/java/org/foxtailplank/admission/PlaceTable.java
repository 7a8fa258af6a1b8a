package org.foxtailplank.admission;

import java.util.Arrays;

/**
 * Hash table of refused jobs in arrays of primitive values, about 60 bytes for each job when full.
 *
 * <p>Jobs are identified by 64 bits of a hash of their IDs. Two jobs with the same hash would share
 * an entry, which happens about once in four billion times among 100,000 jobs and only affects when
 * one of them is asked to return.
 */
final class PlaceTable {
    /** Index of no entry. */
    static final int NONE = -1;

    private static final int MIN_SIZE = 1 << 8;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final int mMaxEntries;
    private int mCount;
    private long[] mKeys = new long[MIN_SIZE];
    private long[] mFirstMs = new long[MIN_SIZE];
    private long[] mEndMs = new long[MIN_SIZE];
    private long[] mWork = new long[MIN_SIZE];
    private long[] mReturnS = new long[MIN_SIZE];
    private int[] mQueues = new int[MIN_SIZE];

    PlaceTable(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    /**
     * An entry.
     *
     * @param queue number of the queue
     * @param firstMs time of the first refusal
     * @param endMs end of the time in which a completion has any benefit
     * @param work estimated work
     * @param returnS second in which the job is to return; {@link #NONE} if never
     */
    record Place(int queue, long firstMs, long endMs, long work, long returnS) {
        Place withReturn(long second) {
            return new Place(queue, firstMs, endMs, work, second);
        }
    }

    /** Hash of an ID by which its entry is found; never 0, which marks free entries. */
    static long key(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }

    int size() {
        return mCount;
    }

    /** Memory of the arrays, in bytes. */
    long bytes() {
        return (long) mKeys.length * (5 * Long.BYTES + Integer.BYTES);
    }

    boolean isFull() {
        return mCount >= mMaxEntries;
    }

    /** Index of a key's entry, or {@link #NONE}; valid until the next change. */
    int find(long key) {
        int i = start(key);
        while (mKeys[i] != 0) {
            if (mKeys[i] == key) {
                return i;
            }
            i = next(i);
        }
        return NONE;
    }

    Place get(int index) {
        return new Place(
                mQueues[index], mFirstMs[index], mEndMs[index], mWork[index], mReturnS[index]);
    }

    /** Adds or replaces the entry of a key. */
    void put(long key, Place place) {
        int i = find(key);
        if (i == NONE) {
            // Filled to four fifths, 100,000 entries need 2^17 slots; to three quarters, twice
            // that.
            if (5 * (mCount + 1) > 4 * mKeys.length) {
                grow();
            }
            mCount++;
            i = start(key);
            while (mKeys[i] != 0) {
                i = next(i);
            }
        }
        set(i, key, place);
    }

    private void set(int index, long key, Place place) {
        mKeys[index] = key;
        mQueues[index] = place.queue();
        mFirstMs[index] = place.firstMs();
        mEndMs[index] = place.endMs();
        mWork[index] = place.work();
        mReturnS[index] = place.returnS();
    }

    /** Removes an entry, and moves later ones of the same chain so that they can be found. */
    void remove(int index) {
        mCount--;
        int free = index;
        int i = index;
        while (true) {
            mKeys[free] = 0;
            int home;
            do {
                i = next(i);
                if (mKeys[i] == 0) {
                    return;
                }
                home = start(mKeys[i]);
            } while (free <= i ? free < home && home <= i : free < home || home <= i);
            set(free, mKeys[i], get(i));
            free = i;
        }
    }

    /** Removes the entries whose jobs have no benefit any more. */
    void removeExpired(long nowMs) {
        for (int i = mKeys.length - 1; i >= 0; i--) {
            // An entry that a removal moves here from the beginning of the table is checked next
            // time.
            if (mKeys[i] != 0 && mEndMs[i] <= nowMs) {
                remove(i);
            }
        }
    }

    private void grow() {
        long[] keys = mKeys;
        PlaceTable larger = new PlaceTable(mMaxEntries);
        larger.allocate(2 * keys.length);
        for (int i = 0; i < keys.length; i++) {
            if (keys[i] != 0) {
                larger.put(keys[i], get(i));
            }
        }
        mKeys = larger.mKeys;
        mFirstMs = larger.mFirstMs;
        mEndMs = larger.mEndMs;
        mWork = larger.mWork;
        mReturnS = larger.mReturnS;
        mQueues = larger.mQueues;
    }

    private void allocate(int size) {
        mKeys = new long[size];
        mFirstMs = new long[size];
        mEndMs = new long[size];
        mWork = new long[size];
        mReturnS = new long[size];
        mQueues = new int[size];
        Arrays.fill(mReturnS, NONE);
    }

    private int start(long key) {
        return (int) key & mKeys.length - 1;
    }

    private int next(int index) {
        return index + 1 & mKeys.length - 1;
    }
}
