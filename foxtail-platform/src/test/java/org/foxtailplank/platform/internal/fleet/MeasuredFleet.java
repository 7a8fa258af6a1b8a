package org.foxtailplank.platform.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmState;

/** A fleet of a size and the records of its maintenance, made on the real fold. */
final class MeasuredFleet {
    private static final int VMS_PER_RACK = 4;
    private static final NodeId NODE = NodeId.of("entry-1");
    private static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "wave december");

    private final List<LogRecord> mRecords = new ArrayList<>();
    private final FleetState mState = new FleetState();
    private final int mVms;
    private final int mZones;
    private final int mPools;
    private int mIds;

    private MeasuredFleet(int vms, int zones, int pools) {
        mVms = vms;
        mZones = zones;
        mPools = pools;
    }

    /** A fleet whose VMs are rebooted one after the other until the log has enough records. */
    static MeasuredFleet of(int vms, int zones, int pools, int records) {
        MeasuredFleet f = new MeasuredFleet(vms, zones, pools);
        f.publish();
        while (f.mRecords.size() < records) {
            for (int i = 0; i < vms && f.mRecords.size() < records; i++) {
                f.reboot(VmId.of(name(i)));
            }
        }
        return f;
    }

    List<LogRecord> records() {
        return mRecords;
    }

    FleetState state() {
        return mState;
    }

    /** One of the usual small changes of the configuration. */
    LogRecord smallChange(int n) {
        String patch = "{\"services\":{\"service-3\":{\"minAvailable\":" + n + "}}}";
        FleetTopology shape =
                new FleetTopology(Map.of(), Map.of(), Map.of(ServiceId.of("service-3"), n % 3));
        return record(
                new ConfigurationChanged(patch, Map.of(), shape, AUTHOR),
                Optional.empty(),
                Map.of(ObjectKey.configuration(), mState.version(ObjectKey.configuration())));
    }

    /** The same change as a whole configuration. */
    LogRecord wholeChange() {
        return record(
                new ConfigurationPublished(base(), Map.of(), shape(), AUTHOR),
                Optional.empty(),
                Map.of(ObjectKey.configuration(), mState.version(ObjectKey.configuration())));
    }

    void write(LogRecord r) {
        Verdict v = mState.apply(mState.nextOffset(), r);
        if (!v.isApplied()) {
            throw new IllegalStateException(v.toString());
        }
        mRecords.add(r);
    }

    private void publish() {
        write(wholeChange());
        for (int z = 0; z < mZones; z++) {
            write(record(new EpochTaken(zone(z), 0, NODE), Optional.empty(), Map.of()));
        }
        for (int i = 0; i < mVms; i++) {
            VmId vm = VmId.of(name(i));
            write(record(new VmObserved(vm, 0, VmHealth.UP, AUTHOR), epoch(vm), Map.of()));
        }
    }

    private void reboot(VmId id) {
        VmState vm = mState.vm(id).orElseThrow();
        VmActionIntended intent =
                new VmActionIntended(
                        id, VmAction.REBOOT, vm.generation() + 1, Optional.empty(), AUTHOR);
        write(record(intent, epoch(id), Map.of(ObjectKey.of(id), vm.version())));
        VmState pending = mState.vm(id).orElseThrow();
        write(
                record(
                        new VmActionConfirmed(id, pending.generation(), ActionOutcome.DONE),
                        epoch(id),
                        Map.of(ObjectKey.of(id), pending.version())));
    }

    private Optional<ActingEpoch> epoch(VmId vm) {
        return Optional.of(new ActingEpoch(mState.vm(vm).orElseThrow().zone(), 1));
    }

    private LogRecord record(
            Change change, Optional<ActingEpoch> epoch, Map<ObjectKey, Long> expects) {
        RecordId id = RecordId.of("entry-1-9f3c77a1-" + ++mIds);
        return new LogRecord(id, NODE, epoch, expects, change, mState.basis());
    }

    private FleetTopology shape() {
        Map<VmId, VmLocation> vms = new HashMap<>();
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        Map<ServiceId, Integer> min = new HashMap<>();
        for (int i = 0; i < mVms; i++) {
            vms.put(
                    VmId.of(name(i)),
                    new VmLocation(zone(rack(i) % mZones), RackId.of("rack-" + rack(i)), pool(i)));
        }
        for (int p = 0; p < mPools; p++) {
            ServiceId service = ServiceId.of("service-" + p);
            int size = mVms / mPools;
            pools.put(pool(p), new PoolDefinition(Optional.of(service), size, 1));
            min.put(service, size / 4);
        }
        return new FleetTopology(vms, pools, min);
    }

    private String base() {
        StringBuilder b = new StringBuilder("{\n  // the fleet\n  \"vms\": {\n");
        for (int i = 0; i < mVms; i++) {
            b.append("    \"").append(name(i)).append("\": { \"rack\": \"rack-").append(rack(i));
            b.append("\", \"processors\": 64, \"memory\": \"256 GiB\", \"pool\": \"");
            b.append(pool(i)).append("\" },\n");
        }
        return b.append("  },\n}\n").toString();
    }

    private static int rack(int vm) {
        return vm / VMS_PER_RACK;
    }

    private PoolId pool(int vm) {
        return PoolId.of("pool-" + vm % mPools);
    }

    private static ZoneId zone(int z) {
        return ZoneId.of("zone-" + z);
    }

    private static String name(int vm) {
        return "vm-%05d".formatted(vm);
    }
}
