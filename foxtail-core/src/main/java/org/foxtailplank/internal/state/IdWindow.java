package org.foxtailplank.internal.state;

import java.util.Arrays;
import org.foxtailplank.id.RecordId;

/**
 * The ids of the newest records, in bounded memory.
 *
 * <p>Guards against an append that is repeated after its answer was lost: the record would take
 * effect twice. A record names its basis, an offset that its writer had folded, so its first copy
 * stands at or after the basis. A copy at {@code basis + SIZE} or later is void as too late; one
 * before that finds the first copy among the newest {@code SIZE} ids. No clock is needed.
 *
 * <p>Ids are held as 64-bit hashes. Two ids of the same hash within the window would make the later
 * record void as a duplicate, for every reader alike; its writer then makes it anew.
 */
public final class IdWindow {
    /** Offsets for which ids are remembered. */
    public static final int SIZE = 1 << 15;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int SLOTS = SIZE * 2;
    private static final int FREE = 0;

    /** Hash of the id at each offset, modulo the size; 0 for none. */
    private final long[] mRing;

    /** Open addressing from hash to ring index + 1. */
    private final int[] mSlots = new int[SLOTS];

    private IdWindow(long[] ring) {
        mRing = ring;
        for (int i = 0; i < SIZE; i++) {
            if (ring[i] != 0) {
                insert(i);
            }
        }
    }

    /** Remembers nothing yet. */
    public static IdWindow empty() {
        return new IdWindow(new long[SIZE]);
    }

    /** Remembers the ids that {@link #hashes()} gave. */
    public static IdWindow of(long[] hashes) {
        return new IdWindow(Arrays.copyOf(hashes, SIZE));
    }

    /** Whether a record made on this basis can still be checked at this offset. */
    public static boolean covers(long basis, long offset) {
        return offset < basis + SIZE;
    }

    /** Hash of the id at each offset, modulo the size; 0 for none. */
    public long[] hashes() {
        return mRing.clone();
    }

    /** Remembers the id of the record at an offset; returns whether it was new. */
    public boolean add(RecordId id, long offset) {
        forget(offset);
        long h = hash(id.value());
        if (find(h) >= 0) {
            return false;
        }
        int at = (int) (offset % SIZE);
        mRing[at] = h;
        insert(at);
        return true;
    }

    /** Drops the id that leaves the window when it reaches an offset. */
    public void forget(long offset) {
        int at = (int) (offset % SIZE);
        if (mRing[at] != 0) {
            remove(find(mRing[at]));
            mRing[at] = 0;
        }
    }

    private void insert(int at) {
        int s = slotOf(mRing[at]);
        while (mSlots[s] != FREE) {
            s = next(s);
        }
        mSlots[s] = at + 1;
    }

    private int find(long hash) {
        for (int s = slotOf(hash); mSlots[s] != FREE; s = next(s)) {
            if (mRing[mSlots[s] - 1] == hash) {
                return s;
            }
        }
        return -1;
    }

    /** Frees a slot and closes the gap, so that later searches don't end in it. */
    private void remove(int slot) {
        int gap = slot;
        mSlots[gap] = FREE;
        for (int s = next(gap); mSlots[s] != FREE; s = next(s)) {
            int home = slotOf(mRing[mSlots[s] - 1]);
            boolean reachable = gap < s ? home > gap && home <= s : home > gap || home <= s;
            if (!reachable) {
                mSlots[gap] = mSlots[s];
                mSlots[s] = FREE;
                gap = s;
            }
        }
    }

    private static int slotOf(long hash) {
        return (int) (hash ^ (hash >>> 32)) & (SLOTS - 1);
    }

    private static int next(int slot) {
        return (slot + 1) & (SLOTS - 1);
    }

    private static long hash(String id) {
        long h = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * FNV_PRIME;
        }
        h ^= h >>> 29;
        return h == 0 ? 1 : h;
    }
}
