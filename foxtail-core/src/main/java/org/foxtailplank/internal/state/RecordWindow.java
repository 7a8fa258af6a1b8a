package org.foxtailplank.internal.state;

import java.util.Arrays;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.RecordWindowContents;

/**
 * Ids of the newest records and digests of the log before each, in bounded memory.
 *
 * <p>Guards against a record that takes effect twice because its append was retried after a lost
 * response. The first copy of a record is at or after its basis. A copy at {@code basis + SIZE} or
 * later is void as too late; an earlier one finds the first copy among the newest {@code SIZE} ids.
 *
 * <p>Also guards against a log that was restored with other records: a record whose basis has
 * another digest was created from a different state.
 *
 * <p>Ids are stored as 64-bit hashes. On a collision within the window the later record is void as
 * a duplicate, for every reader alike, and its writer has to create a new record.
 */
public final class RecordWindow {
    /** Number of offsets in the window. */
    public static final int SIZE = 1 << 14;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int FIRST_CAPACITY = 1 << 8;
    private static final int EMPTY = 0;

    /** Hash of the id at each offset, modulo the capacity; 0 for none. */
    private long[] mIds;

    /** Digest of all records before each offset, modulo the capacity. */
    private long[] mDigests;

    /** Hash table with open addressing, from hash to index + 1. */
    private int[] mSlots;

    private RecordWindow(long[] ids, long[] digests) {
        fill(ids, digests);
    }

    /** Returns an empty window. */
    public static RecordWindow empty() {
        return new RecordWindow(new long[FIRST_CAPACITY], new long[FIRST_CAPACITY]);
    }

    /** Returns a window with the given contents. */
    public static RecordWindow of(RecordWindowContents contents) {
        return new RecordWindow(contents.ids().clone(), contents.digests().clone());
    }

    /** Returns a copy of the contents. */
    public RecordWindowContents contents() {
        return new RecordWindowContents(mIds.clone(), mDigests.clone());
    }

    /**
     * Returns whether the window can detect duplicates of a record with this basis at this offset.
     */
    public static boolean covers(Basis basis, long offset) {
        return offset < basis.offset() + SIZE;
    }

    /** Returns the digest of the records before an offset, which must be in the window. */
    public long digest(long offset) {
        return mDigests[index(offset)];
    }

    /** Returns whether the record at an offset, which must be in the window, may have this id. */
    public boolean mayContain(RecordId id, long offset) {
        return mDigests[index(offset + 1)] == nextDigest(mDigests[index(offset)], hash(id.value()));
    }

    /** Adds the id of the record at an offset; returns whether it is new. */
    public boolean add(RecordId id, long offset) {
        long h = hash(id.value());
        growFor(offset + 1);
        evict(offset);
        mDigests[index(offset + 1)] = nextDigest(mDigests[index(offset)], h);
        if (find(h) >= 0) {
            return false;
        }
        mIds[index(offset)] = h;
        insert(index(offset));
        return true;
    }

    /** Removes the id that leaves the window at this offset. */
    private void evict(long offset) {
        int position = index(offset);
        if (mIds[position] != 0) {
            remove(find(mIds[position]));
            mIds[position] = 0;
        }
    }

    /** Grows the arrays before offsets wrap around, until they have their full size. */
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

    private static long nextDigest(long digest, long idHash) {
        long d = (digest + idHash) * FNV_PRIME;
        return d ^ d >>> 32;
    }

    private void insert(int position) {
        int s = slotOf(mIds[position]);
        while (mSlots[s] != EMPTY) {
            s = nextSlot(s);
        }
        mSlots[s] = position + 1;
    }

    private int find(long hash) {
        for (int s = slotOf(hash); mSlots[s] != EMPTY; s = nextSlot(s)) {
            if (mIds[mSlots[s] - 1] == hash) {
                return s;
            }
        }
        return -1;
    }

    /** Frees a slot and shifts later entries back, so that searches don't end at the gap. */
    private void remove(int slot) {
        int gap = slot;
        mSlots[gap] = EMPTY;
        for (int s = nextSlot(gap); mSlots[s] != EMPTY; s = nextSlot(s)) {
            int home = slotOf(mIds[mSlots[s] - 1]);
            boolean reachable = gap < s ? home > gap && home <= s : home > gap || home <= s;
            if (!reachable) {
                mSlots[gap] = mSlots[s];
                mSlots[s] = EMPTY;
                gap = s;
            }
        }
    }

    private int slotOf(long hash) {
        return (int) (hash ^ (hash >>> 32)) & (mSlots.length - 1);
    }

    private int nextSlot(int slot) {
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
