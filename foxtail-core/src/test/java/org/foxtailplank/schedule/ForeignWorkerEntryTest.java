package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.Test;

/** Tests entries that another writer leaves under a live worker's ID. */
public class ForeignWorkerEntryTest {
    private static final long START_MS = 1_700_000_000_000L;
    private static final long FUTURE_MS = 221_845_392_000_000L;
    private static final String OWN_ADDRESS = "10.0.0.1:80";
    private static final String FOREIGN_ADDRESS = "127.0.0.1:1";

    private static WorkerInfo entry(long startMs, String address) {
        return new WorkerInfo(
                new WorkerIncarnation("w1", startMs),
                "surveys",
                address,
                "zone",
                Resources.of(8, 1L << 40, 0),
                Set.of("a", "r1"),
                "r1",
                false);
    }

    /** Guards against a worker that a new owner never polls, as a foreign entry was read first. */
    @Test
    public void aWorkersOwnEntryReplacesAForeignOneWithALaterStartTime() {
        OwnerHarness owner = new OwnerHarness();
        owner.mScheduler.updateWorker(entry(FUTURE_MS, FOREIGN_ADDRESS), owner.mNowMs);
        owner.mScheduler.updateWorker(entry(START_MS, OWN_ADDRESS), owner.mNowMs + 10);

        WorkerState worker = owner.mScheduler.worker("w1").orElseThrow();
        assertEquals(worker.address().address(), OWN_ADDRESS);
    }

    /** Guards against an outdated entry that replaces that of a worker which has answered. */
    @Test
    public void anEntryOfAFormerIncarnationIsIgnoredOnceTheWorkerHasAnswered() {
        OwnerHarness owner = new OwnerHarness();
        owner.mScheduler.updateWorker(entry(START_MS, OWN_ADDRESS), owner.mNowMs);
        owner.poll(owner.mScheduler.worker("w1").orElseThrow());
        owner.mScheduler.updateWorker(entry(START_MS - 1000, FOREIGN_ADDRESS), owner.mNowMs + 10);

        WorkerState worker = owner.mScheduler.worker("w1").orElseThrow();
        assertEquals(worker.address().address(), OWN_ADDRESS);
    }
}
