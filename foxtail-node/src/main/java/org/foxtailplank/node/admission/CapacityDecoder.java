package org.foxtailplank.node.admission;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;

/** Decodes the capacity reports of one connection; see {@link CapacityEncoder}. */
public final class CapacityDecoder {
    private final Map<Integer, Pool> mPools = new LinkedHashMap<>();

    private static final class Pool {
        final List<Long> mValues = new ArrayList<>(PoolImage.NONE.values());
        final Map<Integer, String> mOrganisationNames = new HashMap<>();
        final Map<String, OrganisationCapacity> mOrganisations = new LinkedHashMap<>();
        Map<Long, Long> mJoining = Map.of();
        String mName = "";
    }

    /**
     * Decodes a report and returns the pools that it describes.
     *
     * @param offsetMs offset of the local monotonic clock to the owner's
     */
    public List<ReportedPool> decode(byte[] report, long offsetMs) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(report);
        long measuredMs = 0;
        Set<Integer> deferred = new HashSet<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case CapacityFields.RESET -> {
                    in.skipField(tag);
                    mPools.clear();
                }
                case CapacityFields.MEASURED_MS -> measuredMs = in.readInt64();
                case CapacityFields.DEFERRED -> deferred.add(in.readInt32());
                case CapacityFields.POOL -> readPool(in.readByteArray());
                default -> in.skipField(tag);
            }
        }
        List<ReportedPool> pools = new ArrayList<>();
        for (Map.Entry<Integer, Pool> e : mPools.entrySet()) {
            Pool p = e.getValue();
            if (!deferred.contains(e.getKey()) && !p.mName.isEmpty()) {
                PoolImage image = new PoolImage(p.mValues, p.mJoining, p.mOrganisations);
                pools.add(image.toPool(p.mName, measuredMs, offsetMs));
            }
        }
        return pools;
    }

    /** Returns the index of a service's pool on this connection; empty if it has none. */
    public Optional<Integer> index(String service) {
        return mPools.entrySet().stream()
                .filter(e -> e.getValue().mName.equals(service))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void readPool(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        Pool pool = new Pool();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            int value = field - CapacityFields.FIRST_VALUE;
            if (value >= 0 && value < pool.mValues.size()) {
                pool.mValues.set(value, in.readInt64());
                continue;
            }
            switch (field) {
                // The index comes first.
                case CapacityFields.INDEX -> pool = pool(in.readInt32());
                case CapacityFields.NAME -> pool.mName = in.readString();
                case CapacityFields.JOINING -> pool.mJoining = joining(in.readByteArray());
                case CapacityFields.ORGANISATION -> readOrganisation(pool, in.readByteArray());
                case CapacityFields.DROPPED_ORGANISATION ->
                        pool.mOrganisations.remove(pool.mOrganisationNames.get(in.readInt32()));
                default -> in.skipField(tag);
            }
        }
    }

    private Pool pool(int index) throws IOException {
        check(index, CapacityFields.MAX_POOLS);
        return mPools.computeIfAbsent(index, i -> new Pool());
    }

    private static Map<Long, Long> joining(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        Map<Long, Long> joining = new TreeMap<>();
        while (!in.isAtEnd()) {
            joining.put(in.readUInt64(), in.readUInt64());
        }
        return joining;
    }

    private static void readOrganisation(Pool pool, byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        int index = 0;
        long milliCores = 0;
        long work = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case CapacityFields.INDEX -> index = in.readInt32();
                case CapacityFields.NAME -> {
                    check(index, CapacityFields.MAX_ORGANISATION_INDEX);
                    pool.mOrganisationNames.put(index, in.readString());
                }
                case CapacityFields.MILLI_CORES -> milliCores = in.readInt64();
                case CapacityFields.WAITING_WORK ->
                        work = in.readInt64() * CapacityFields.WORK_UNIT;
                default -> in.skipField(tag);
            }
        }
        String name = pool.mOrganisationNames.get(index);
        if (name == null) {
            throw new IOException("capacity report of an unnamed organisation: " + index);
        }
        pool.mOrganisations.put(name, new OrganisationCapacity(milliCores, work));
    }

    private static void check(int index, int limit) throws IOException {
        if (index < 0 || index >= limit) {
            throw new IOException("index out of range in a capacity report: " + index);
        }
    }
}
