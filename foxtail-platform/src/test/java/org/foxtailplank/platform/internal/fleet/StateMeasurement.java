package org.foxtailplank.platform.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.RecordFormatException;
import org.foxtailplank.wire.SnapshotChunk;
import org.foxtailplank.wire.SnapshotCodec;
import org.foxtailplank.wire.StoredState;

/** Measures the agreed state at three sizes; run by {@code config/measure-state}, not by tests. */
public final class StateMeasurement {
    private static final int RECORDS = 400_000;
    private static final int ROUNDS = 5;
    private static final int CHANGES_PER_DAY = 7_800;
    private static final int SECONDS_PER_DAY = 86_400;

    private StateMeasurement() {}

    /** Prints one line of figures for each size. */
    public static void main(String[] args) throws RecordFormatException {
        measure(35, 3, 5);
        measure(1_000, 4, 20);
        measure(15_000, 11, 83);
    }

    private static void measure(int vms, int zones, int pools) throws RecordFormatException {
        print("%d VMs, %d zones, %d pools", vms, zones, pools);
        MeasuredFleet fleet = MeasuredFleet.of(vms, zones, pools, RECORDS);
        foldSpeed(fleet.records());
        byte[] bytes = snapshots(new StoredState(0, 1, fleet.state().snapshot().orElseThrow()));
        configuration(fleet);
        fleet = null;
        heap(bytes);
    }

    private static void foldSpeed(List<LogRecord> records) throws RecordFormatException {
        List<byte[]> encoded = new ArrayList<>();
        long size = 0;
        for (LogRecord r : records) {
            byte[] b = RecordCodec.encode(r);
            encoded.add(b);
            size += b.length;
        }
        double fold = 0;
        double both = 0;
        for (int i = 0; i < ROUNDS; i++) {
            FleetState state = new FleetState();
            long t0 = System.nanoTime();
            for (LogRecord r : records) {
                state.apply(state.nextOffset(), r);
            }
            long t1 = System.nanoTime();
            FleetState other = new FleetState();
            for (byte[] b : encoded) {
                other.apply(other.nextOffset(), RecordCodec.decode(b));
            }
            long t2 = System.nanoTime();
            fold = Math.max(fold, records.size() * 1e9 / (t1 - t0));
            both = Math.max(both, records.size() * 1e9 / (t2 - t1));
        }
        print(
                "  fold %.0f records/s, decode and fold %.0f records/s (best of %d, %d records),"
                        + " %d B a record",
                fold, both, ROUNDS, records.size(), size / records.size());
    }

    private static byte[] snapshots(StoredState s) throws RecordFormatException {
        byte[] bytes = {};
        long encode = Long.MAX_VALUE;
        long load = Long.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            long t0 = System.nanoTime();
            bytes = SnapshotCodec.encode(s);
            long t1 = System.nanoTime();
            FleetState.of(SnapshotCodec.decode(bytes).state());
            long t2 = System.nanoTime();
            encode = Math.min(encode, t1 - t0);
            load = Math.min(load, t2 - t1);
        }
        print(
                "  snapshot %d B in %d parts, encoded in %.1f ms, loaded in %.1f ms (best of %d)",
                bytes.length,
                SnapshotChunk.split("s", s, bytes, 0).size(),
                encode / 1e6,
                load / 1e6,
                ROUNDS);
        return bytes;
    }

    private static void configuration(MeasuredFleet fleet) {
        int whole = RecordCodec.encode(fleet.wholeChange()).length;
        LogRecord change = fleet.smallChange(1);
        int small = RecordCodec.encode(change).length;
        long merge = Long.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            fleet.write(fleet.smallChange(i));
            long t0 = System.nanoTime();
            fleet.state().configuration();
            merge = Math.min(merge, System.nanoTime() - t0);
        }
        print(
                "  a change as a patch %d B, as a whole %d B; %d a day: %.0f B/s and %.0f B/s;"
                        + " merged text in %.1f ms",
                small,
                whole,
                CHANGES_PER_DAY,
                (double) small * CHANGES_PER_DAY / SECONDS_PER_DAY,
                (double) whole * CHANGES_PER_DAY / SECONDS_PER_DAY,
                merge / 1e6);
    }

    private static void heap(byte[] snapshot) throws RecordFormatException {
        long before = used();
        FleetState state = FleetState.of(SnapshotCodec.decode(snapshot).state());
        long after = used();
        print(
                "  heap of the state %d B (%d VMs, next offset %d)",
                after - before, state.vms().size(), state.nextOffset());
    }

    private static long used() {
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    private static void print(String format, Object... args) {
        System.out.println(String.format(Locale.ROOT, format, args));
    }
}
