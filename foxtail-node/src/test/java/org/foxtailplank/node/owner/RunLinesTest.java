package org.foxtailplank.node.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.Test;

/** Tests the log lines by which the runs of a task are followed from owner to owner. */
public class RunLinesTest extends OwnerFleetTestBase {
    private static final String RUN =
            "\"kind\":\"%s\",\"task\":\"" + TASK + "\",\"attempt\":1,\"worker\":\"w1\"";

    private String logged(int owner) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        mContexts.get(owner).log().flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private OwnerSession startFirstOwner(FakeWorkers.Connection connection) {
        mDirectory.add("w1", SERVICE);
        OwnerSession owner = startOwner(mLog, connection, new Takeover(1, true, true));
        owner.storeHandedOver(job(RunMode.PLAIN), outcome -> {});
        return owner;
    }

    @Test
    public void aNewOwnerLogsTheRunsThatItInherits() {
        OwnerSession first = startFirstOwner(mWorkers.connect());
        pass(1000);
        first.end();
        startOwner(mLog, mWorkers.connect(), new Takeover(2, true, true));
        pass(500);

        String log = logged(1);
        assertTrue(log.contains(RUN.formatted("run-inherited") + ",\"listed\":\"true\""), log);
    }

    @Test
    public void aNewOwnerLogsTheStartThatItDoesNotInherit() {
        OwnerSession first = startFirstOwner(mWorkers.connect());
        pass(1000);
        first.end();
        mDirectory.remove("w1");
        mVms = List.of(Vms.vm("vm2", "w2"));
        startOwner(mLog, mWorkers.connect(), new Takeover(2, true, true));
        pass(500);

        String log = logged(1);
        assertTrue(
                log.contains(
                        RUN.formatted("start-not-inherited")
                                + ",\"why\":\"its worker's incarnation has ended\""),
                log);
        assertFalse(log.contains("\"kind\":\"run-inherited\""), log);
    }

    /** Guards against a start of a job that is read late and leaves no line. */
    @Test
    public void anEndedStartOfAJobThatIsLearntLateIsLogged() {
        mDirectory.add("w1", SERVICE);
        startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        pass(500);
        WorkerIncarnation worker = WorkerIncarnation.ofUnknownStart("w1");
        append(JournalCodec.encode(new RunsStarted(List.of(new StartedRun(TASK, 1, worker)))));
        EndedRun end = new EndedRun(TASK, 1, RunOutcome.FAILED, mTime.wallMs());
        append(JournalCodec.encode(new RunsEnded(List.of(end))));
        append(job(RunMode.PLAIN));
        pass(500);

        String log = logged(0);
        assertTrue(
                log.contains(
                        RUN.formatted("start-not-inherited") + ",\"why\":\"its end is recorded\""),
                log);
    }

    private void append(byte[] record) {
        mLog.append(JournalPartitions.PRIMARY, List.of(record), result -> {});
    }

    /** Guards against a start whose answer leaves no line, as its owner has ended meanwhile. */
    @Test
    public void theAnswerToAStartOfAnEndedOwnerIsLogged() {
        FakeWorkers.Connection connection = mWorkers.connect();
        mDirectory.add("w1", SERVICE);
        OwnerSession owner = startOwner(mLog, connection, new Takeover(1, true, true));
        pass(500);
        connection.disconnect("w1");
        owner.storeHandedOver(job(RunMode.PLAIN), outcome -> {});
        pass(200);
        owner.end();
        pass(500);

        String log = logged(0);
        assertTrue(
                log.contains(RUN.formatted("late-start-order") + ",\"outcome\":\"UNANSWERED\""),
                log);
        assertFalse(log.contains("\"kind\":\"start-order\""), log);
    }

    @Test
    public void aStartThatIsWithdrawnIsLoggedWithTheReason() {
        mDirectory.add("w1", SERVICE);
        OwnerSession owner = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        pass(500);
        owner.storeHandedOver(
                job(RunMode.PLAIN),
                outcome -> JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, true)));
        pass(5000);

        String log = logged(0);
        assertTrue(
                log.contains(
                        RUN.formatted("run-dropped") + ",\"why\":\"the store takes no records\""),
                log);
    }

    @Test
    public void aRunThatEndsWithItsWorkerIsLoggedWithTheReason() {
        startFirstOwner(mWorkers.connect());
        pass(1000);
        mWorkers.startAt("w1", 1_700_000_000_000L);
        pass(1000);

        String log = logged(0);
        assertTrue(log.contains(RUN.formatted("run-ended-with-worker") + ",\"why\":\""), log);
        assertTrue(log.contains("\"answeredMsAgo\":"), log);
    }
}
