package org.foxtailplank.node.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an owner whose link delays the answers of workers and of the VM service. */
public class SlowLinkOwnerTest {
    private static final String SERVICE = "ledger";
    private static final ScheduleLimits LIMITS = new ScheduleLimits(6000, 250, 200);
    private static final int WORKERS = 10;
    private static final long STEP_MS = 10;
    private static final long WORKER_TIMEOUT_MS = 500;
    private static final long VM_TIMEOUT_MS = 1000;
    private static final long FAST_MS = 5;
    private static final long SLOW_MS = 1300;
    private static final long NEVER_MS = 1_000_000;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private OwnerContext mContext;
    private OwnerSession mOwner;
    private long mPollMs;
    private long mListMs;
    private int mListed;
    private boolean mCutOff;
    private boolean mResigned;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mPollMs = FAST_MS;
        mListMs = FAST_MS;
        mListed = WORKERS;
        mCutOff = false;
        mResigned = false;
        FakeDirectory directory = new FakeDirectory();
        for (int i = 0; i < WORKERS; i++) {
            directory.add("w" + i, SERVICE);
        }
        ServiceConfig service = new ServiceConfig(SERVICE, true, false);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), List.of(service), 1000));
        OperatorFollower operator =
                new OperatorFollower(
                        new FixedFeed<>(
                                List.of(new ChangeFeed.Item<>("config", Optional.of(config)))),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime));
        operator.refresh();
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        mContext =
                FakeOwnerContext.of(
                        mTime,
                        mLog,
                        true,
                        LIMITS,
                        operator,
                        new OwnerContext.Platform(
                                directory, new Workers(), new Vms(), null, wavePublisher),
                        (record, job) -> mOwner.applyRecord(record, job));
        mOwner = new OwnerSession(mContext, new Takeover(1, true, true), () -> mResigned = true);
        mOwner.start();
        pass(5000);
        assertFalse(mResigned);
    }

    /** Idle workers; a poll that may wait is answered when its wait is over. */
    private final class Workers implements WorkerClient {
        @Override
        public void start(
                WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
            throw new AssertionError("there are no jobs");
        }

        @Override
        public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
            throw new AssertionError("there are no jobs");
        }

        @Override
        public void throttle(
                WorkerAddress to,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            throw new AssertionError("there are no jobs");
        }

        @Override
        public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
            answer(
                    mPollMs + command.waitMs(),
                    WORKER_TIMEOUT_MS + command.waitMs(),
                    response(CommandOutcome.DONE),
                    response(CommandOutcome.UNANSWERED),
                    callback);
        }

        private PollResponse response(CommandOutcome outcome) {
            return new PollResponse(
                    outcome,
                    WorkerIncarnation.UNKNOWN_START_MS,
                    mTime.nowMs(),
                    List.of(),
                    List.of());
        }
    }

    private final class Vms implements VmClient {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            list(mListMs < VM_TIMEOUT_MS ? mListMs : NEVER_MS, callback);
        }

        @Override
        public void listAcceptingLate(Consumer<Optional<List<VmInfo>>> callback) {
            list(mListMs, callback);
        }

        private void list(long delayMs, Consumer<Optional<List<VmInfo>>> callback) {
            answer(delayMs, VM_TIMEOUT_MS, Optional.of(vms()), Optional.empty(), callback);
        }

        private List<VmInfo> vms() {
            List<VmInfo> vms = new ArrayList<>();
            for (int i = 0; i < mListed; i++) {
                Resources capacity = Resources.of(8, 1L << 40, 0);
                vms.add(new VmInfo("vm" + i, SERVICE, VmPhase.UP, "w" + i, capacity));
            }
            return vms;
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }
    }

    /** Reports the timeout, the answer, or first the one and then the other. */
    private <T> void answer(
            long delayMs, long timeoutMs, T answer, T timeout, Consumer<T> callback) {
        boolean[] answered = new boolean[1];
        mTime.after(
                delayMs,
                () -> {
                    if (!mCutOff) {
                        answered[0] = true;
                        callback.accept(answer);
                    }
                });
        mTime.after(
                timeoutMs,
                () -> {
                    if (!answered[0]) {
                        callback.accept(timeout);
                    }
                });
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.advance(STEP_MS);
            mContext.reader().refresh(read -> {});
            mLog.deliverAnswers();
        }
    }

    /** Discards all answers from now on; returns how long the owner stays, in milliseconds. */
    private long cutOff() {
        mCutOff = true;
        long since = mTime.nowMs();
        while (!mResigned && mTime.nowMs() - since < 20_000) {
            pass(STEP_MS);
        }
        return mTime.nowMs() - since;
    }

    /** Guards against owners that resign one after another because their workers answer late. */
    @Test
    public void anOwnerWhoseWorkersAnswerLateDoesNotResignWithoutTheVmService() {
        mPollMs = SLOW_MS;
        pass(10_000);
        mListMs = NEVER_MS;
        pass(20_000);

        assertFalse(mResigned);
    }

    /** Guards against an owner that resigns while lists of VMs arrive just after their timeouts. */
    @Test
    public void anOwnerWhoseVmServiceAnswersLateDoesNotResignWithoutItsWorkers() {
        mListMs = SLOW_MS;
        mPollMs = NEVER_MS;
        pass(20_000);

        assertFalse(mResigned);
    }

    /** Guards against crashed workers that go unnoticed while all lists of VMs arrive late. */
    @Test
    public void aLateListOfVmsEndsWorkersThatItLacks() {
        mListMs = SLOW_MS;
        mPollMs = NEVER_MS;
        mListed = WORKERS - 1;
        pass(5000);

        assertFalse(mOwner.scheduler().worker("w9").isPresent());
        assertTrue(mOwner.scheduler().worker("w8").isPresent());
    }

    /** Guards against a second start of the tasks of a worker that only an older list lacks. */
    @Test
    public void aListOfVmsThatANewerOneOvertookEndsNoWorkers() {
        mPollMs = NEVER_MS;
        pass(5000);
        mListMs = 2 * SLOW_MS;
        mListed = WORKERS - 1;
        pass(500);
        mListMs = FAST_MS;
        mListed = WORKERS;
        pass(10_000);

        assertTrue(mOwner.scheduler().worker("w9").isPresent());
    }

    /** Times within the polls and lists in flight at which the owner is cut off. */
    @DataProvider
    public Object[][] phases() {
        Object[][] phases = new Object[13][];
        for (int i = 0; i < phases.length; i++) {
            phases[i] = new Object[] {i * 170L};
        }
        return phases;
    }

    /** Guards against an owner that is cut off and stays because of earlier late answers. */
    @Test(dataProvider = "phases")
    public void anOwnerThatGetsNoAnswersResignsSoonAfterTheLastLateOne(long phaseMs) {
        mPollMs = SLOW_MS;
        pass(10_000 + phaseMs);

        long stayedMs = cutOff();

        assertTrue(stayedMs <= 1850, stayedMs + " ms");
    }

    /** Guards against a slower resignation of an owner that is cut off. */
    @Test(dataProvider = "phases")
    public void anOwnerThatGetsNoAnswersResignsOnceItsLongestPollHasTimedOut(long phaseMs) {
        pass(phaseMs);

        long stayedMs = cutOff();

        assertTrue(stayedMs <= 2550, stayedMs + " ms");
    }
}
