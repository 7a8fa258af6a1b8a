package org.foxtailplank.platform.internal.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.state.StatePosition;

/**
 * The newest entries of the log, bounded by their bytes, for peers and for a log that lost them.
 */
final class RecentEntries {
    private static final int MAX_BYTES = 512 * 1024;

    /**
     * An entry and the state before it.
     *
     * @param before position before the entry
     * @param entry the entry
     * @param applied whether its record took effect
     */
    record Recent(StatePosition before, StoredEntry entry, boolean applied) {}

    private final Deque<Recent> mEntries = new ArrayDeque<>();
    private int mBytes;

    void add(StatePosition before, StoredEntry entry, boolean applied) {
        mEntries.addLast(new Recent(before, entry, applied));
        mBytes += entry.data().length;
        while (mBytes > MAX_BYTES && mEntries.size() > 1) {
            mBytes -= mEntries.removeFirst().entry().data().length;
        }
    }

    void clear() {
        mEntries.clear();
        mBytes = 0;
    }

    /** Entries that follow on exactly this position, as many as fit but at least one. */
    List<StoredEntry> after(StatePosition position, int maxBytes) {
        List<StoredEntry> found = new ArrayList<>();
        int bytes = 0;
        for (Recent r : mEntries) {
            boolean follows = !found.isEmpty() || r.before().equals(position);
            if (follows) {
                bytes += r.entry().data().length;
                if (bytes > maxBytes && !found.isEmpty()) {
                    break;
                }
                found.add(r.entry());
            }
        }
        return found;
    }

    /** Entries whose records took effect. */
    List<Recent> applied() {
        return mEntries.stream().filter(Recent::applied).toList();
    }
}
