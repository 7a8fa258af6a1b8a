package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.testng.annotations.Test;

/** Tests what a new owner knows of workers that joined during its takeover. */
public class TakeoverDirectoryTest extends OwnerFleetTestBase {
    /** Guards against a second start of a task whose worker joined while the epoch was raised. */
    @Test
    public void runOnAWorkerThatJoinedDuringTheTakeoverIsInherited() {
        mVms = List.of(Vms.vm("vm2", "w2"));
        mDirectory.add("w2", SERVICE);
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w2");
        OwnerSession first = startOwner(mLog, connection, new Takeover(1, true, true));
        first.storeHandedOver(standingJob(), outcome -> {});
        pass(2000);

        RefusableLog log = new RefusableLog();
        FakeWorkers.Connection disconnected = mWorkers.connect();
        disconnected.disconnect("w1");
        OwnerSession second = startOwner(log, disconnected, new Takeover(2, false, false));
        pass(100);
        mDirectory.add("w1", SERVICE);
        pass(600);
        assertEquals(mWorkers.running(TASK), List.of("w1"), "the first owner starts the task");
        log.mRefusing = false;

        passAssertingAtMostOneRun(TASK, 100 * STEP_MS);
        assertTrue(second.isLoaded());
    }

    /** A node's connection to the log, which refuses the node's appends at first. */
    private final class RefusableLog extends ForwardingLog {
        private boolean mRefusing = true;

        RefusableLog() {
            super(mLog);
        }

        @Override
        public void appendAs(
                LogPartition at,
                WriterEpoch writer,
                List<byte[]> records,
                Consumer<AppendResult> callback) {
            if (mRefusing) {
                mTime.after(STEP_MS, () -> callback.accept(new NotStored("status 503")));
            } else {
                super.appendAs(at, writer, records, callback);
            }
        }
    }
}
