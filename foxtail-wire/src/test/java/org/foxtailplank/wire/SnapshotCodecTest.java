package org.foxtailplank.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetSnapshot;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.RecordWindowContents;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.foxtailplank.state.TeamQuota;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;
import org.testng.annotations.Test;

/** Tests the snapshot codec and the reassembly of snapshots from chunks. */
public class SnapshotCodecTest {
    private static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "ticket 7");
    private static final ZoneId ZONE = ZoneId.of("sofia-1");
    private static final PoolId POOL = PoolId.of("claims");
    private static final WaveId WAVE = WaveId.of("december");
    private static final long SEED = 11;

    @Test
    public void readsBackWhatItWrote() throws Exception {
        StoredState s = state(700, "{}");
        assertEquals(SnapshotCodec.decode(SnapshotCodec.encode(s)), s);
        assertEquals(s.position(), new StatePosition(2, 700, 700 % 256));
    }

    @Test
    public void rejectsBytesThatAreNotASnapshot() {
        byte[] bytes = SnapshotCodec.encode(state(700, "{}"));
        bytes[bytes.length / 2] ^= 1;
        assertThrows(RecordFormatException.class, () -> SnapshotCodec.decode(bytes));
        assertThrows(RecordFormatException.class, () -> SnapshotCodec.decode(new byte[0]));
    }

    /** Covers interleaved writers, an incomplete newer snapshot and a duplicated chunk. */
    @Test
    public void findsTheNewestWholeSnapshotAmongMixedParts() {
        List<SnapshotChunk> parts = new ArrayList<>();
        parts.addAll(chunks("a", 700));
        parts.addAll(chunks("b", 800));
        List<SnapshotChunk> half = chunks("c", 900);
        parts.addAll(half.subList(0, half.size() - 1));
        parts.add(parts.get(0));
        Collections.shuffle(parts, new Random(SEED));
        assertEquals(assembled(parts).orElseThrow().state().nextOffset(), 800);
    }

    @Test
    public void ignoresASnapshotWithADamagedPart() {
        List<SnapshotChunk> parts = new ArrayList<>(chunks("a", 700));
        assertTrue(parts.size() > 1);
        assertTrue(assembled(parts).isPresent());
        SnapshotChunk c = parts.get(1);
        ByteString other = c.data().substring(1).concat(ByteString.copyFrom(new byte[1]));
        parts.set(
                1,
                new SnapshotChunk(
                        c.snapshot(),
                        c.index(),
                        c.count(),
                        c.restorations(),
                        c.nextOffset(),
                        c.writtenMillis(),
                        c.checksum(),
                        other));
        assertFalse(assembled(parts).isPresent());
    }

    private static Optional<StoredState> assembled(List<SnapshotChunk> parts) {
        SnapshotAssembler a = new SnapshotAssembler();
        parts.forEach(a::add);
        return a.newest();
    }

    private static List<SnapshotChunk> chunks(String name, long next) {
        byte[] noise = new byte[2 * SnapshotChunk.SIZE];
        new Random(SEED).nextBytes(noise);
        StoredState s = state(next, new String(noise, java.nio.charset.StandardCharsets.UTF_16));
        return SnapshotChunk.split(name, s, SnapshotCodec.encode(s), 5);
    }

    private static StoredState state(long next, String base) {
        long[] ids = new long[256];
        long[] digests = new long[256];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = -i;
            digests[i] = i;
        }
        VmState vm =
                new VmState(
                        VmId.of("vm-1"),
                        ZONE,
                        RackId.of("r1"),
                        POOL,
                        2,
                        VmPhase.STOPPING,
                        5,
                        Optional.of(VmAction.REBOOT),
                        Optional.of(WAVE),
                        Optional.of(PoolId.of("spare")),
                        17,
                        60);
        WaveState wave =
                new WaveState(
                        WAVE,
                        Set.of(ZONE),
                        Set.of(POOL),
                        Set.of(ZONE),
                        WavePhase.PAUSED,
                        AUTHOR,
                        9,
                        12);
        TaskState task =
                new TaskState(vm.id(), 3, TaskAction.THROTTLE, Optional.of(TaskOutcome.RUNNING));
        JobSpec spec = new JobSpec(TeamId.of("desk"), POOL, RequestClass.BATCH, 1, 2, 3, 4);
        JobState job = new JobState(JobId.of("night"), spec, true, Map.of(2, task), 44);
        Optional<ServiceId> service = Optional.of(ServiceId.of("claims"));
        FleetSnapshot snapshot =
                new FleetSnapshot(
                        next,
                        new RecordWindowContents(ids, digests),
                        Optional.of(new Configuration(40, base, Map.of(ZONE, "{}"), AUTHOR)),
                        Map.of(POOL, new PoolDefinition(service, 3, 1)),
                        Map.of(ServiceId.of("claims"), 2),
                        List.of(new PoolState(POOL, service, 4, 1, 41)),
                        List.of(vm),
                        List.of(wave),
                        List.of(job),
                        List.of(new EpochState(ZONE, 3, Optional.of(NodeId.of("n")), 8)),
                        Map.of(TeamId.of("desk"), new TeamQuota(0.5, 33)));
        return new StoredState(2, next - 3, snapshot);
    }
}
