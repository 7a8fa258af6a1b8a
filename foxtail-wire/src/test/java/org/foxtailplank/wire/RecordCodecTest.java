package org.foxtailplank.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.UnknownChange;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WaveStarted;
import org.foxtailplank.wire.generated.records.RecordProto;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the record codec, including records written by a newer version. */
public class RecordCodecTest {
    private static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "ticket 7");
    private static final VmId VM = VmId.of("vm-1");
    private static final PoolId POOL = PoolId.of("claims");
    private static final ZoneId ZONE = ZoneId.of("sofia-1");
    private static final WaveId WAVE = WaveId.of("december");
    private static final JobId JOB = JobId.of("night-run");
    private static final int NEWER_FIELD = 99;

    /** One change of each kind. */
    @DataProvider
    public static Object[] changes() {
        FleetTopology topology =
                new FleetTopology(
                        Map.of(VM, new VmLocation(ZONE, RackId.of("r1"), POOL)),
                        Map.of(
                                POOL,
                                new PoolDefinition(Optional.of(ServiceId.of("claims")), 3, 1),
                                PoolId.of("spare"),
                                new PoolDefinition(Optional.empty(), 0, 0)),
                        Map.of(ServiceId.of("claims"), 2));
        JobSpec spec = new JobSpec(TeamId.of("desk"), POOL, RequestClass.URGENT, 4, 1L << 34, 1, 8);
        return new Object[] {
            new ConfigurationPublished("{ /* é */ }", Map.of(ZONE, "{}"), topology, AUTHOR),
            new ConfigurationChanged("{\"a\":1}", Map.of(ZONE, "{}"), topology, AUTHOR),
            new EpochTaken(ZONE, 4, NodeId.of("entry-2")),
            new VmReleased(VM, POOL, PoolId.of("spare"), AUTHOR),
            new VmJoined(VM, PoolId.of("spare")),
            new VmActionIntended(VM, VmAction.REBOOT, 5, Optional.of(WAVE), AUTHOR),
            new VmActionIntended(VM, VmAction.WAKE, 6, Optional.empty(), AUTHOR),
            new VmActionConfirmed(VM, 5, ActionOutcome.WITHDRAWN),
            new VmObserved(VM, 5, VmHealth.DOWN, AUTHOR),
            new PoolTargetChanged(POOL, 4, 2, AUTHOR),
            new TeamQuotaChanged(TeamId.of("desk"), 0.25, AUTHOR),
            new WaveStarted(WAVE, Set.of(ZONE), Set.of(POOL), AUTHOR),
            new WaveControlled(WAVE, WaveOrder.PAUSE, AUTHOR),
            new WaveFinished(WAVE, ZONE),
            new JobSubmitted(JOB, spec, AUTHOR),
            new JobCancelled(JOB, AUTHOR),
            new TaskIntended(JOB, 3, VM, TaskAction.CHECKPOINT, 2),
            new TaskConfirmed(JOB, 3, VM, 2, TaskOutcome.LOST),
            new StateRestored(2, 900, -5, "entry-1-900"),
        };
    }

    @Test(dataProvider = "changes")
    public void readsBackWhatItWrote(Change change) throws Exception {
        LogRecord r = record(change);
        assertEquals(RecordCodec.decode(RecordCodec.encode(r)), r);
    }

    /** An older node must still learn which objects an unknown kind of change touches. */
    @Test(dataProvider = "changes")
    public void decodesAnUnknownKindAsUnknownChange(Change change) throws Exception {
        RecordProto known = RecordProto.parseFrom(RecordCodec.encode(record(change)));
        UnknownFieldSet newer =
                UnknownFieldSet.newBuilder()
                        .addField(
                                NEWER_FIELD,
                                UnknownFieldSet.Field.newBuilder()
                                        .addLengthDelimited(ByteString.copyFromUtf8("new"))
                                        .build())
                        .build();
        RecordProto record = known.toBuilder().clearChange().setUnknownFields(newer).build();
        assertUnknownChange(record, change);
    }

    @Test
    public void decodesANewerConstantAsUnknownChange() throws Exception {
        Change change = new VmActionConfirmed(VM, 5, ActionOutcome.DONE);
        RecordProto.Builder b =
                RecordProto.parseFrom(RecordCodec.encode(record(change))).toBuilder();
        b.getVmActionConfirmedBuilder().setOutcomeValue(NEWER_FIELD);
        assertUnknownChange(b.build(), change);
    }

    @Test
    public void decodesARecordForANewerReaderAsUnknownChange() throws Exception {
        Change change = new VmJoined(VM, POOL);
        RecordProto.Builder b =
                RecordProto.parseFrom(RecordCodec.encode(record(change))).toBuilder();
        assertUnknownChange(b.setReaderVersion(RecordCodec.READER_VERSION + 1).build(), change);
    }

    @Test
    public void decodesAnExpectationOfANewerKindAsUnknownChange() throws Exception {
        Change change = new VmJoined(VM, POOL);
        RecordProto.Builder b =
                RecordProto.parseFrom(RecordCodec.encode(record(change))).toBuilder();
        b.getExpectsBuilder(0).getObjectBuilder().setKind(NEWER_FIELD);
        LogRecord r = RecordCodec.decode(b.build().toByteArray());
        assertEquals(r.change(), new UnknownChange(change.touches()));
    }

    @Test
    public void rejectsBytesThatAreNotARecord() {
        byte[][] bad = {{}, "{\"id\":1}".getBytes(), {(byte) 0xff, 1, 2}};
        for (byte[] data : bad) {
            assertThrows(RecordFormatException.class, () -> RecordCodec.decode(data));
        }
    }

    private static void assertUnknownChange(RecordProto record, Change change) throws Exception {
        LogRecord r = RecordCodec.decode(record.toByteArray());
        LogRecord expected = record(new UnknownChange(change.touches()));
        assertEquals(r, expected);
    }

    private static LogRecord record(Change change) {
        return new LogRecord(
                RecordId.of("r-1"),
                NodeId.of("entry-1"),
                Optional.of(new ActingEpoch(ZONE, 3)),
                Map.of(ObjectKey.of(VM), 12L, ObjectKey.configuration(), 0L),
                change,
                new Basis(40, 0x8000_0000_0000_0001L));
    }
}
