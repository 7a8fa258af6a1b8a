package org.foxtailplank.internal.state;

import java.util.Arrays;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.WindowContents;

/**
 * The ids of the newest records and the digests of the log before them, in bounded memory.
 *
 * <p>Guards against an append that is repeated after its answer was lost: the record would take
 * effect twice. A record names its basis, an offset that its writer had folded, so its first copy
 * stands at or after the basis. A copy at {@code basis + SIZE} or later is void as too late; one
 * before that finds the first copy among the newest {@code SIZE} ids. No clock is needed.
 *
 * <p>Guards also against a log that came back with other records: a record whose basis has another
 * digest was made from a state that this log does not lead to.
 *
 * <p>Ids are held as 64-bit hashes. Two ids of the same hash within the window would make the later
 * record void as a duplicate, for every reader alike; its writer then makes it anew.
 */
public final class RecordWindow {
    /** Offsets for which ids are remembered. */
    public static final int SIZE = 1 << 14;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int FIRST_CAPACITY = 1 << 8;
    private static final int FREE = 0;

    /** Hash of the id at each offset, modulo the capacity; 0 for none. */
    private long[] mIds;

    /** Digest of all records before each offset, modulo the capacity. */
    private long[] mDigests;

    /** Open addressing from hash to index + 1. */
    private int[] mSlots;

    private RecordWindow(long[] ids, long[] digests) {
        fill(ids, digests);
    }

    /** Remembers nothing yet. */
    public static RecordWindow empty() {
        return new RecordWindow(new long[FIRST_CAPACITY], new long[FIRST_CAPACITY]);
    }

    /** Remembers what another one did. */
    public static RecordWindow of(WindowContents contents) {
        return new RecordWindow(contents.ids().clone(), contents.digests().clone());
    }

    /** What is remembered. */
    public WindowContents contents() {
        return new WindowContents(mIds.clone(), mDigests.clone());
    }

    /** Whether a record made on this basis can still be checked at this offset. */
    public static boolean covers(Basis basis, long offset) {
        return offset < basis.offset() + SIZE;
    }

    /** Digest of the records before an offset, which must be among the newest. */
    public long digest(long offset) {
        return mDigests[index(offset)];
    }

    /** Whether the record at an offset, which must be among the newest, may have this id. */
    public boolean mayHold(RecordId id, long offset) {
        return mDigests[index(offset + 1)] == next(mDigests[index(offset)], hash(id.value()));
    }

    /** Remembers the id of the record at an offset; returns whether it was new. */
    public boolean add(RecordId id, long offset) {
        long h = hash(id.value());
        growFor(offset + 1);
        forget(offset);
        mDigests[index(offset + 1)] = next(mDigests[index(offset)], h);
        if (find(h) >= 0) {
            return false;
        }
        mIds[index(offset)] = h;
        insert(index(offset));
        return true;
    }

    /** Drops the id that leaves the window when it reaches an offset. */
    private void forget(long offset) {
        int at = index(offset);
        if (mIds[at] != 0) {
            remove(find(mIds[at]));
            mIds[at] = 0;
        }
    }

    /** Grows before the offsets wrap round, so that each stands at its own index until then. */
    private void growFor(long offset) {
        if (offset == mIds.length && offset < SIZE) {
            fill(Arrays.copyOf(mIds, mIds.length * 2), Arrays.copyOf(mDigests, mIds.length * 2));
        }
    }

    private void fill(long[] ids, long[] digests) {
        mIds = ids;
        mDigests = digests;
        mSlots = new int[ids.length * 2];
        for (int i = 0; i < ids.length; i++) {
            if (ids[i] != 0) {
                insert(i);
            }
        }
    }

    private int index(long offset) {
        return (int) (offset & mIds.length - 1);
    }

    private static long next(long digest, long idHash) {
        long d = (digest + idHash) * FNV_PRIME;
        return d ^ d >>> 32;
    }

    private void insert(int at) {
        int s = slotOf(mIds[at]);
        while (mSlots[s] != FREE) {
            s = next(s);
        }
        mSlots[s] = at + 1;
    }

    private int find(long hash) {
        for (int s = slotOf(hash); mSlots[s] != FREE; s = next(s)) {
            if (mIds[mSlots[s] - 1] == hash) {
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
            int home = slotOf(mIds[mSlots[s] - 1]);
            boolean reachable = gap < s ? home > gap && home <= s : home > gap || home <= s;
            if (!reachable) {
                mSlots[gap] = mSlots[s];
                mSlots[s] = FREE;
                gap = s;
            }
        }
    }

    private int slotOf(long hash) {
        return (int) (hash ^ (hash >>> 32)) & (mSlots.length - 1);
    }

    private int next(int slot) {
        return (slot + 1) & (mSlots.length - 1);
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
