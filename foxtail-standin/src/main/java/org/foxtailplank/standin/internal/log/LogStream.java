package org.foxtailplank.standin.internal.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One stream; offsets start at 1. */
final class LogStream {

    private final long mRetentionMs;
    private final List<Stored> mRecords = new ArrayList<>();
    private long mOldest = 1;
    private CompletableFuture<Void> mGrown = new CompletableFuture<>();

    LogStream(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    /** A record with the time of its append. */
    record Stored(long offset, String id, byte[] data, long atMs) {}

    synchronized long append(List<LogDocuments.Entry> entries, long nowMs) {
        expire(nowMs);
        long first = end();
        for (LogDocuments.Entry e : entries) {
            mRecords.add(new Stored(end(), e.id(), e.data(), nowMs));
        }
        mGrown.complete(null);
        mGrown = new CompletableFuture<>();
        return first;
    }

    synchronized LogDocuments.Page read(long from, int limit, long nowMs) {
        expire(nowMs);
        List<LogDocuments.Entry> page = new ArrayList<>();
        if (from >= mOldest && from < end()) {
            int start = (int) (from - mOldest);
            int stop = Math.min(mRecords.size(), start + limit);
            for (Stored s : mRecords.subList(start, stop)) {
                page.add(new LogDocuments.Entry(s.offset(), s.id(), s.data()));
            }
        }
        return new LogDocuments.Page(mOldest, end(), page);
    }

    /** Completes with the next append. */
    synchronized CompletableFuture<Void> grown() {
        return mGrown;
    }

    /** Drops the oldest records, up to the one at this offset. */
    synchronized void expireTo(long oldest) {
        int gone = (int) Math.max(0, Math.min(mRecords.size(), oldest - mOldest));
        mRecords.subList(0, gone).clear();
        mOldest += gone;
    }

    /** Drops the last records, so that the stream ends at this offset. */
    synchronized void shortenTo(long end) {
        if (end < mOldest) {
            mOldest = end;
        }
        int kept = (int) Math.max(0, Math.min(mRecords.size(), end - mOldest));
        mRecords.subList(kept, mRecords.size()).clear();
    }

    private long end() {
        return mOldest + mRecords.size();
    }

    private void expire(long nowMs) {
        int gone = 0;
        while (gone < mRecords.size() && mRecords.get(gone).atMs() < nowMs - mRetentionMs) {
            gone++;
        }
        expireTo(mOldest + gone);
    }
}
