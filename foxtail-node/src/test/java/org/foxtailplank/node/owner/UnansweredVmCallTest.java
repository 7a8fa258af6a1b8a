package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests moves and reboots of VMs that are executed and whose answers are lost. */
public class UnansweredVmCallTest {
    private static final String SERVICE = "survey";
    private static final String STANDBY = "off";
    private static final Resources CAPACITY = Resources.of(8, 1L << 40, 0);
    private static final int TASKS = 16;
    private static final long STEP_MS = 10;
    private static final long TIMEOUT_MS = 1000;
    private static final long ACTION_MS = 1500;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private FakeWorkers mWorkers;
    private FakeDirectory mDirectory;
    private LossyVms mVms;
    private OwnerContext mContext;
    private OwnerSession mOwner;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mWorkers = new FakeWorkers(mTime);
        mDirectory = new FakeDirectory();
        mVms = new LossyVms();
        mVms.add("vm1", SERVICE, "w1");
        mDirectory.add("w1", SERVICE);
    }

    /** Loses the answer to the first call, and all answers for some time. */
    private final class LossyVms implements VmClient {
        private final List<VmInfo> mInfos = new ArrayList<>();
        private final List<String> mExecuted = new ArrayList<>();
        private boolean mAnswering = true;
        private int mCalls;

        void add(String id, String pool, String worker) {
            mInfos.add(new VmInfo(id, pool, VmPhase.UP, worker, CAPACITY));
        }

        private void set(String id, String pool, VmPhase phase, String worker) {
            mInfos.removeIf(v -> v.id().equals(id));
            mInfos.add(new VmInfo(id, pool, phase, worker, CAPACITY));
        }

        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            callback.accept(mAnswering ? Optional.of(List.copyOf(mInfos)) : Optional.empty());
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            execute(vm, pool, VmPhase.MOVING, "move " + vm, callback);
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            execute(vm, SERVICE, VmPhase.REBOOTING, "reboot " + vm, callback);
        }

        /** Executes an action once; a repeated one is already done. */
        private void execute(
                String vm,
                String pool,
                VmPhase phase,
                String action,
                Consumer<VmOutcome> callback) {
            if (!mExecuted.contains(action)) {
                mExecuted.add(action);
                set(vm, pool, phase, "");
                mTime.after(
                        ACTION_MS,
                        () -> {
                            set(vm, pool, VmPhase.UP, vm + "-new");
                            mDirectory.add(vm + "-new", pool);
                        });
            }
            mCalls++;
            boolean lost = mCalls == 1 || !mAnswering;
            mTime.after(
                    lost ? TIMEOUT_MS : STEP_MS,
                    () -> callback.accept(lost ? VmOutcome.UNANSWERED : VmOutcome.DONE));
        }
    }

    /** Starts an owner; spare VMs would move to the standby pool beside a wave. */
    private void startOwner(List<MaintenanceWave> waves) {
        List<ServiceConfig> services = new ArrayList<>();
        services.add(new ServiceConfig(SERVICE, true, false));
        if (waves.isEmpty()) {
            services.add(new ServiceConfig(STANDBY, true, true));
        }
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), services, 1000));
        List<ChangeFeed.Item<OperatorChange>> items = new ArrayList<>();
        for (MaintenanceWave wave : waves) {
            items.add(new ChangeFeed.Item<>("wave", Optional.of(new OperatorChange.NewWave(wave))));
        }
        items.add(new ChangeFeed.Item<>("config", Optional.of(config)));
        OperatorFollower operator =
                new OperatorFollower(new FixedFeed<>(items), mTime, mTime, NodeLog.silent(mTime));
        operator.refresh();
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerContext.Platform platform =
                new OwnerContext.Platform(
                        mDirectory, mWorkers.connect(), mVms, null, wavePublisher);
        mContext =
                FakeOwnerContext.of(
                        mTime,
                        mLog,
                        true,
                        new ScheduleLimits(6000, 250, 200),
                        operator,
                        platform,
                        (record, job) -> mOwner.applyRecord(record, job));
        mOwner = new OwnerSession(mContext, new Takeover(1, true, true), () -> {});
        mOwner.start();
    }

    private static byte[] backlog() {
        TaskStep step =
                new TaskStep(
                        TASKS,
                        Resources.of(1, 1, 0),
                        60_000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return JournalCodec.encode(
                new JobAccepted(
                        new JobDefinition(
                                "00000000000000aa",
                                "queue",
                                SERVICE,
                                "text",
                                List.of(step),
                                Timetable.AT_ONCE,
                                policy,
                                1,
                                0,
                                "")));
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.advance(STEP_MS);
            mContext.reader().refresh(read -> {});
            mLog.deliverAnswers();
        }
    }

    private long tasksOn(String worker) {
        long running = 0;
        for (int i = 0; i < TASKS; i++) {
            TaskName task = new TaskName("00000000000000aa", 0, 0, i);
            running += mWorkers.running(task).contains(worker) ? 1 : 0;
        }
        return running;
    }

    /** Guards against a moved VM whose new worker gets no tasks because the answer was lost. */
    @Test
    public void aVmWhoseMoveWentUnansweredWorksInItsNewPool() {
        mVms.add("vm2", STANDBY, "");
        startOwner(List.of());
        mOwner.storeHandedOver(backlog(), outcome -> {});

        pass(6000);

        assertEquals(mVms.mExecuted, List.of("move vm2"));
        assertEquals(tasksOn("vm2-new"), 8, "tasks on the moved VM");
    }

    /** Guards against a rebooted VM that stays idle because all answers were lost meanwhile. */
    @Test
    public void aVmWhoseRebootWentUnnoticedWorksAgain() {
        mVms.add("vm2", SERVICE, "w2");
        mDirectory.add("w2", SERVICE);
        startOwner(List.of(new MaintenanceWave(1, List.of("vm2"), 5000, 1)));
        while (mVms.mExecuted.isEmpty()) {
            pass(STEP_MS);
        }
        mVms.mAnswering = false;
        pass(ACTION_MS + TIMEOUT_MS);
        mVms.mAnswering = true;
        pass(3000);
        mOwner.storeHandedOver(backlog(), outcome -> {});
        pass(1000);

        assertEquals(mVms.mExecuted, List.of("reboot vm2"));
        assertEquals(tasksOn("vm2-new"), 8, "tasks on the rebooted VM");
    }

    /** Guards against a reboot ordered by the owner that counts as a crash of the worker. */
    @Test
    public void anUnansweredRebootDoesNotCountAsACrash() {
        mVms.add("vm2", SERVICE, "w2");
        mDirectory.add("w2", SERVICE);
        startOwner(List.of(new MaintenanceWave(1, List.of("vm2"), 5000, 1)));

        pass(8000);

        assertEquals(mVms.mExecuted, List.of("reboot vm2"));
        assertEquals(mContext.metrics().counter("workerCrashes").getCount(), 0, "crashes");
    }
}
