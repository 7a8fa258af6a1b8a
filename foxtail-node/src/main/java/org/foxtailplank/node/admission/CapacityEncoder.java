package org.foxtailplank.node.admission;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.node.journal.JournalCodec;

/**
 * Encodes the capacity reports of one connection. Each report contains only what changed since the
 * one before, within a limit of bytes.
 *
 * <p>A pool that isn't mentioned is unchanged as of the report's time. Changes of a pool that don't
 * fit are deferred, and the pool keeps its older measurement; those deferred longest come first. An
 * organisation whose change doesn't fit is dropped, so that no outdated one delays its jobs.
 */
public final class CapacityEncoder {
    /** Bytes for the time of the measurement and the reset. */
    private static final int HEADER_BYTES = 12;

    /** Bytes for the tag and length of a pool's changes. */
    private static final int POOL_HEADER_BYTES = 3;

    /** Bytes for the index of a pool or an organisation. */
    private static final int INDEX_BYTES = 3;

    private final int mMaxBytes;
    private final Map<String, PoolState> mPools = new LinkedHashMap<>();
    private long mReports;

    private static final class PoolState {
        final int mIndex;
        final Map<String, Integer> mOrganisationIndexes = new HashMap<>();
        PoolImage mSent = PoolImage.NONE;
        boolean mNameSent;
        long mLastReport;

        PoolState(int index) {
            mIndex = index;
        }
    }

    /** Changes of a pool that fit into the current report. */
    private record Change(PoolState state, PoolImage image, ByteArrayOutputStream bytes) {}

    /**
     * Creates an encoder for a new connection.
     *
     * @param maxBytes largest report
     */
    public CapacityEncoder(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Encodes a report; empty if there is nothing to report.
     *
     * @param pools pools with one time of measurement on the owner's clock
     * @param images images of the pools, for the reports of one measurement to all connections
     */
    public Optional<byte[]> encode(List<ReportedPool> pools, ReportImages images) {
        List<ReportedPool> reported =
                pools.subList(0, Math.min(pools.size(), CapacityFields.MAX_POOLS));
        boolean reset = isResetNeeded(reported);
        if (reset) {
            mPools.clear();
        }
        if (reported.isEmpty() && !reset) {
            return Optional.empty();
        }
        mReports++;
        try {
            return Optional.of(encode(reported, images, reset));
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to an in-memory buffer", e);
        }
    }

    /** Returns the service of the pool with an index on this connection; empty if it has none. */
    public Optional<String> service(int index) {
        return mPools.entrySet().stream()
                .filter(e -> e.getValue().mIndex == index)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Whether a pool is no longer reported, or a connection saw too many organisations. */
    private boolean isResetNeeded(List<ReportedPool> pools) {
        List<String> services = pools.stream().map(p -> p.capacity().service()).toList();
        return !services.containsAll(mPools.keySet())
                || mPools.values().stream()
                        .anyMatch(
                                p ->
                                        p.mOrganisationIndexes.size()
                                                > CapacityFields.MAX_ORGANISATION_INDEX
                                                        - CapacityFields.MAX_ORGANISATIONS);
    }

    private byte[] encode(List<ReportedPool> pools, ReportImages images, boolean reset)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, JournalCodec.BUFFER_BYTES);
        if (reset) {
            out.writeBool(CapacityFields.RESET, true);
        }
        if (!pools.isEmpty()) {
            out.writeInt64(CapacityFields.MEASURED_MS, pools.get(0).capacity().measuredMs());
        }
        List<ReportedPool> byAge = new ArrayList<>(pools);
        byAge.sort(Comparator.comparingLong(p -> state(p).mLastReport));
        int left = mMaxBytes - HEADER_BYTES - INDEX_BYTES * pools.size();
        List<Change> changes = new ArrayList<>();
        for (ReportedPool p : byAge) {
            PoolState state = state(p);
            Change change = new Change(state, images.of(p), new ByteArrayOutputStream());
            writeValues(change);
            int size = change.bytes().size() + POOL_HEADER_BYTES + reservedBytes(change);
            if (size <= left) {
                left -= size;
                changes.add(change);
            } else {
                out.writeInt32(CapacityFields.DEFERRED, state.mIndex);
            }
        }
        for (Change c : changes) {
            left = writeOrganisations(c, left + reservedBytes(c));
            c.state().mLastReport = mReports;
            if (c.bytes().size() > 0) {
                out.writeByteArray(CapacityFields.POOL, withIndex(c));
            }
        }
        out.flush();
        return bytes.toByteArray();
    }

    private PoolState state(ReportedPool pool) {
        return mPools.computeIfAbsent(pool.capacity().service(), s -> new PoolState(mPools.size()));
    }

    /** Writes the changed values of a pool, and its name if it wasn't sent. */
    private void writeValues(Change change) throws IOException {
        PoolState state = change.state();
        CodedOutputStream out =
                CodedOutputStream.newInstance(change.bytes(), JournalCodec.BUFFER_BYTES);
        if (!state.mNameSent) {
            out.writeString(CapacityFields.NAME, name(state));
        }
        PoolImage image = change.image();
        for (int i = 0; i < image.values().size(); i++) {
            if (!image.values().get(i).equals(state.mSent.values().get(i))) {
                out.writeInt64(CapacityFields.FIRST_VALUE + i, image.values().get(i));
            }
        }
        if (!image.joining().equals(state.mSent.joining())) {
            ByteArrayOutputStream pairs = new ByteArrayOutputStream();
            CodedOutputStream pairsOut =
                    CodedOutputStream.newInstance(pairs, JournalCodec.BUFFER_BYTES);
            for (Map.Entry<Long, Long> e : image.joining().entrySet()) {
                pairsOut.writeUInt64NoTag(e.getKey());
                pairsOut.writeUInt64NoTag(e.getValue());
            }
            pairsOut.flush();
            out.writeByteArray(CapacityFields.JOINING, pairs.toByteArray());
        }
        for (String o : state.mSent.organisations().keySet()) {
            if (!image.organisations().containsKey(o)) {
                out.writeInt32(
                        CapacityFields.DROPPED_ORGANISATION, state.mOrganisationIndexes.get(o));
            }
        }
        out.flush();
    }

    private String name(PoolState state) {
        return mPools.entrySet().stream()
                .filter(e -> e.getValue() == state)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** Bytes to drop every organisation that has changed. */
    private static int reservedBytes(Change change) {
        Map<String, OrganisationCapacity> sent = change.state().mSent.organisations();
        int changed = 0;
        for (Map.Entry<String, OrganisationCapacity> e :
                change.image().organisations().entrySet()) {
            OrganisationCapacity before = sent.get(e.getKey());
            changed += before != null && !before.equals(e.getValue()) ? 1 : 0;
        }
        return changed * INDEX_BYTES;
    }

    /** Writes the changed organisations that fit and returns the bytes that are left. */
    private int writeOrganisations(Change change, int maxBytes) throws IOException {
        PoolState state = change.state();
        int left = maxBytes;
        Map<String, OrganisationCapacity> sent = new LinkedHashMap<>();
        CodedOutputStream out =
                CodedOutputStream.newInstance(change.bytes(), JournalCodec.BUFFER_BYTES);
        int reserved = reservedBytes(change);
        for (Map.Entry<String, OrganisationCapacity> e :
                change.image().organisations().entrySet()) {
            OrganisationCapacity before = state.mSent.organisations().get(e.getKey());
            if (e.getValue().equals(before)) {
                sent.put(e.getKey(), before);
                continue;
            }
            reserved -= before != null ? INDEX_BYTES : 0;
            byte[] bytes = organisationBytes(state, e.getKey(), e.getValue());
            if (bytes.length + POOL_HEADER_BYTES <= left - reserved) {
                left -= bytes.length + POOL_HEADER_BYTES;
                out.writeByteArray(CapacityFields.ORGANISATION, bytes);
                state.mOrganisationIndexes.putIfAbsent(
                        e.getKey(), state.mOrganisationIndexes.size());
                sent.put(e.getKey(), e.getValue());
            } else if (before != null) {
                left -= INDEX_BYTES;
                out.writeInt32(
                        CapacityFields.DROPPED_ORGANISATION,
                        state.mOrganisationIndexes.get(e.getKey()));
            }
        }
        out.flush();
        state.mSent = new PoolImage(change.image().values(), change.image().joining(), sent);
        state.mNameSent = true;
        return left;
    }

    private static byte[] organisationBytes(
            PoolState state, String name, OrganisationCapacity organisation) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, JournalCodec.BUFFER_BYTES);
        Integer index = state.mOrganisationIndexes.get(name);
        out.writeInt32(
                CapacityFields.INDEX, index == null ? state.mOrganisationIndexes.size() : index);
        if (index == null) {
            out.writeString(CapacityFields.NAME, name);
        }
        out.writeInt64(CapacityFields.MILLI_CORES, organisation.milliCores());
        out.writeInt64(
                CapacityFields.WAITING_WORK, organisation.waitingWork() / CapacityFields.WORK_UNIT);
        out.flush();
        return bytes.toByteArray();
    }

    private static byte[] withIndex(Change change) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, JournalCodec.BUFFER_BYTES);
        out.writeInt32(CapacityFields.INDEX, change.state().mIndex);
        out.flush();
        change.bytes().writeTo(bytes);
        return bytes.toByteArray();
    }
}
