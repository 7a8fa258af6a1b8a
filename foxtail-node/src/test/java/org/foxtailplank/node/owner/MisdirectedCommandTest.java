package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WorkerClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an owner concludes if another worker answers at a worker's address. */
public class MisdirectedCommandTest extends OwnerFleetTestBase {
    private static final String ADDRESS = "10.0.0.1:1";
    private static final String OTHER_ADDRESS = "10.0.0.7:1";
    private static final long START_MS = 1_700_000_000_000L;
    private static final long POLLS_MS = 1500;

    private FakeWorkers.Connection mConnection;

    @BeforeMethod
    public void setUp() {
        mConnection = mWorkers.connect();
        mConnection.disconnect("w2");
        mDirectory.add("w1", SERVICE, ADDRESS);
        mDirectory.add("w2", SERVICE, ADDRESS);
    }

    /** A connection on which one address answers for another worker. */
    private final class Misdirected implements WorkerClient {
        private String mForeignAddress;

        /** Whether the foreign worker doesn't check whom a poll is for, nor tell its start time. */
        private boolean mAnswersAnyPoll;

        Misdirected(String foreignAddress) {
            mForeignAddress = foreignAddress;
        }

        private boolean isForeign(WorkerAddress to) {
            return to.address().equals(mForeignAddress) && to.id().equals("w1");
        }

        private void reject(Consumer<CommandResponse> callback) {
            mTime.after(
                    STEP_MS,
                    () -> callback.accept(new CommandResponse(CommandOutcome.OTHER_LIFE, -1)));
        }

        @Override
        public void start(
                WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
            if (isForeign(to)) {
                reject(callback);
            } else {
                mConnection.start(to, command, callback);
            }
        }

        @Override
        public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
            if (isForeign(to)) {
                reject(callback);
            } else {
                mConnection.stop(to, command, callback);
            }
        }

        @Override
        public void throttle(
                WorkerAddress to,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            mConnection.throttle(to, command, percent, callback);
        }

        @Override
        public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
            if (isForeign(to)) {
                PollResponse response =
                        new PollResponse(
                                mAnswersAnyPoll ? CommandOutcome.DONE : CommandOutcome.OTHER_LIFE,
                                WorkerIncarnation.UNKNOWN_START_MS,
                                -1,
                                List.of(),
                                List.of());
                mTime.after(STEP_MS, () -> callback.accept(response));
            } else {
                mConnection.poll(to, command, callback);
            }
        }
    }

    private void startOwnerWithTask(WorkerClient connection) {
        startOwner(mLog, connection, new Takeover(1, true, true))
                .storeHandedOver(standingJob(), outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        mConnection.reconnect("w2");
        pass(POLLS_MS);
    }

    /** Guards against a second start while a worker runs whose entry has named another address. */
    @Test
    public void aWorkerHasNotEndedIfAnotherOneAnswersWhereItNeverDid() {
        startOwnerWithTask(new Misdirected(OTHER_ADDRESS));
        mDirectory.add("w1", SERVICE, OTHER_ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);
        mDirectory.add("w1", SERVICE, ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against the same by a new owner, whom the worker has not answered yet. */
    @Test
    public void anInheritedWorkerHasNotEndedIfAnotherOneAnswersAtTheAddressOfItsEntry() {
        startOwnerWithTask(mConnection);
        mDirectory.add("w1", SERVICE, OTHER_ADDRESS);
        startOwner(mLog, new Misdirected(OTHER_ADDRESS), new Takeover(2, true, true));
        passAssertingAtMostOneRun(TASK, POLLS_MS);
        mDirectory.add("w1", SERVICE, ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against the same if the worker joined after the lists of the takeover. */
    @Test
    public void aWorkerThatJoinedAfterTheTakeoverHasNotEndedEither() {
        List<VmClient.VmInfo> all = mVms;
        mVms = List.of(Vms.vm("vm2", "w2"));
        mDirectory.remove("w1");
        OwnerSession owner =
                startOwner(mLog, new Misdirected(OTHER_ADDRESS), new Takeover(1, true, true));
        pass(500);
        mVms = all;
        mDirectory.add("w1", SERVICE, ADDRESS);
        owner.storeHandedOver(standingJob(), outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        mConnection.reconnect("w2");
        pass(POLLS_MS);
        mDirectory.add("w1", SERVICE, OTHER_ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);
        mDirectory.add("w1", SERVICE, ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against the same after an answer there that wasn't the worker's. */
    @Test
    public void anAnswerOfUnknownOriginDoesNotTellTheAddressOfAWorker() {
        mWorkers.startAt("w1", START_MS);
        mDirectory.add("w1", START_MS, SERVICE);
        Misdirected connection = new Misdirected(OTHER_ADDRESS);
        startOwnerWithTask(connection);
        connection.mAnswersAnyPoll = true;
        mDirectory.add("w1", START_MS, SERVICE, OTHER_ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);
        connection.mAnswersAnyPoll = false;
        passAssertingAtMostOneRun(TASK, POLLS_MS);
        mDirectory.add("w1", START_MS, SERVICE, ADDRESS);
        passAssertingAtMostOneRun(TASK, POLLS_MS);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against a crashed worker whose tasks wait although its next incarnation answers. */
    @Test
    public void aWorkerHasEndedIfAnotherOneAnswersWhereItDid() {
        Misdirected connection = new Misdirected(OTHER_ADDRESS);
        startOwnerWithTask(connection);
        connection.mForeignAddress = ADDRESS;
        mWorkers.startAt("w1", 1);
        pass(POLLS_MS);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }

    /** Guards against tasks that wait for their lease after a crash and a change of owner. */
    @Test
    public void anInheritedWorkerHasEndedIfAnotherOneAnswersAndItsVmIsListedWithThat() {
        startOwnerWithTask(mConnection);
        mWorkers.startAt("w1", 1);
        mVms = List.of(Vms.vm("vm1", "w3"), Vms.vm("vm2", "w2"));
        startOwner(mLog, new Misdirected(ADDRESS), new Takeover(2, true, true));
        pass(500);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }
}
