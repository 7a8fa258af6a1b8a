package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.foxtailplank.job.RunMode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests starts that are carried out after the runs of their silent workers were given up. */
public class LateStartTest extends OwnerFleetTestBase {
    private static final long MAX_DELAY_MS = 1500;

    @DataProvider
    public Object[][] delays() {
        return LongStream.iterate(0, d -> d <= MAX_DELAY_MS, d -> d + 5 * STEP_MS)
                .mapToObj(d -> new Object[] {d})
                .toArray(Object[][]::new);
    }

    /** Guards against a start that is carried out once its worker's lease is renewed. */
    @Test(dataProvider = "delays")
    public void aStartThatWasGivenUpIsNotCarriedOutLater(long delayMs) {
        mDirectory.add("w1", SERVICE);
        FakeWorkers.Connection connection = mWorkers.connect();
        OwnerSession owner = startOwner(mLog, connection, new Takeover(1, true, true));
        pass(500);
        connection.disconnect("w1");
        owner.storeHandedOver(job(RunMode.PLAIN), outcome -> {});
        pass(100);
        mDirectory.add("w2", SERVICE);
        pass(LIMITS.leaseExpiryMs() + 1000);
        assertEquals(mWorkers.running(TASK), List.of("w2"));

        connection.reconnect("w1");
        passAssertingAtMostOneRun(TASK, delayMs);
        connection.carryOutHeldStarts();
        passAssertingAtMostOneRun(TASK, 2000);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }

    /** Guards against a worker whose lease isn't renewed any more after it has come back. */
    @Test
    public void aWorkerThatComesBackIsUsedAgain() {
        aStartThatWasGivenUpIsNotCarriedOutLater(1000);
        mDirectory.remove("w2");
        mWorkers.startAt("w2", 1);
        mVms = List.of(Vms.vm("vm1", "w1"));
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        pass(2 * LIMITS.leaseExpiryMs());

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }
}
