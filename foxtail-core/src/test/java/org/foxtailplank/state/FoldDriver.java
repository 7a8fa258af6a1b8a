package org.foxtailplank.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/** Writes records to its own {@link FleetState}. */
public final class FoldDriver {
    public static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "test");
    public static final NodeId NODE = NodeId.of("entry-1");
    public static final ZoneId ZONE = ZoneId.of("sofia-1");

    private final FleetState mState = new FleetState();
    private int mIds;

    /** Returns two pools that run a service of the same name, with one VM in each rack. */
    public static FleetTopology topology(int racks, int minAvailable) {
        Map<VmId, VmLocation> vms = new HashMap<>();
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        Map<ServiceId, Integer> min = new HashMap<>();
        for (String name : new String[] {"claims", "photos"}) {
            PoolId pool = PoolId.of(name);
            pools.put(pool, new PoolDefinition(Optional.of(ServiceId.of(name)), racks, 0));
            min.put(ServiceId.of(name), minAvailable);
            for (int i = 1; i <= racks; i++) {
                vms.put(VmId.of(name + i), new VmLocation(ZONE, RackId.of("rack" + i), pool));
            }
        }
        return new FleetTopology(vms, pools, min);
    }

    /** Returns a driver whose state has all VMs of {@link #topology} serving. */
    public static FoldDriver serving(int racks, int minAvailable) {
        FoldDriver d = new FoldDriver();
        FleetTopology topology = topology(racks, minAvailable);
        d.writeApplied(
                new ConfigurationPublished("{}", Map.of(), topology, AUTHOR), configuration(0));
        topology.vms().keySet().forEach(d::serve);
        return d;
    }

    public static Map<ObjectKey, Long> configuration(long version) {
        return Map.of(ObjectKey.configuration(), version);
    }

    public FleetState state() {
        return mState;
    }

    public VmState vm(String name) {
        return mState.vm(VmId.of(name)).orElseThrow();
    }

    public Verdict write(LogRecord record) {
        return mState.apply(mState.nextOffset(), record);
    }

    public LogRecord record(Change change) {
        return record(change, Map.of());
    }

    public LogRecord record(Change change, Map<ObjectKey, Long> expects) {
        RecordId id = RecordId.of("record-" + ++mIds);
        return new LogRecord(id, NODE, Optional.empty(), expects, change, mState.basis());
    }

    /** Writes a change and asserts that it takes effect. */
    public void writeApplied(Change change) {
        writeApplied(change, Map.of());
    }

    public void writeApplied(Change change, Map<ObjectKey, Long> expects) {
        Verdict v = write(record(change, expects));
        assertTrue(v.isApplied(), v.toString());
    }

    /** Writes a change and asserts that it is void. */
    public void writeRefused(VoidReason reason, Change change) {
        assertRefused(reason, write(record(change)));
    }

    public static void assertRefused(VoidReason reason, Verdict verdict) {
        assertTrue(verdict instanceof Verdict.Void, verdict.toString());
        assertEquals(((Verdict.Void) verdict).reason(), reason, verdict.toString());
    }

    /** Returns an intent for the VM's current generation. */
    public VmActionIntended intent(String vm, VmAction action) {
        return new VmActionIntended(
                VmId.of(vm), action, vm(vm).generation() + 1, Optional.empty(), AUTHOR);
    }

    /** Returns the confirmation of the VM's pending action. */
    public VmActionConfirmed outcome(String vm, ActionOutcome outcome) {
        return new VmActionConfirmed(VmId.of(vm), vm(vm).generation(), outcome);
    }

    public VmReleased release(String vm, String from, String to) {
        return new VmReleased(VmId.of(vm), PoolId.of(from), PoolId.of(to), AUTHOR);
    }

    public VmJoined join(String vm, String to) {
        return new VmJoined(VmId.of(vm), PoolId.of(to));
    }

    private void serve(VmId vm) {
        long generation = mState.vm(vm).orElseThrow().generation();
        writeApplied(new VmObserved(vm, generation, VmHealth.UP, AUTHOR));
    }
}
