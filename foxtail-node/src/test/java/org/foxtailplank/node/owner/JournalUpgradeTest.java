package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.WriterEpoch;
import org.testng.annotations.Test;

/** Guards against jobs that are lost with an upgrade from a version whose journal has no keys. */
public class JournalUpgradeTest extends JournalRetentionTestBase {
    private static final int KEY_BYTES = 12;
    private static final List<LogPartition> EARLIER = JournalPartitions.earlier(3);

    private static byte[] withoutKey(byte[] record) {
        return Arrays.copyOfRange(record, KEY_BYTES, record.length);
    }

    private void storeEarlier(byte[] record) {
        mExpiring.append(EARLIER.get(0), List.of(withoutKey(record)), r -> {});
    }

    private void storeEarlier(JournalRecord record) {
        storeEarlier(JournalCodec.encode(record));
    }

    private void storeEarlierJournal() {
        for (String id : List.of("aa", "bb", "cc")) {
            storeEarlier(OwnerFleetTestBase.job(id, RunMode.PLAIN, mTime.wallMs()));
        }
        storeEarlier(new JobsStarted(List.of("bb")));
        storeEarlier(new JobCancelled("cc", mTime.wallMs()));
        storeEarlier(new VmRebooted(1, "vm1"));
        storeEarlier(
                new UnknownJobsCancelled(
                        List.of(new CancelledId("dd", "", "queue", mTime.wallMs()))));
        storeEarlier(new OwnerHeartbeat(1, "10.0.0.9:1", 0));
    }

    private void takeOverFromEarlierVersion() {
        start(20_000);
        mOwner.mEnded = true;
        mOwner.mJournal.close();
        storeEarlierJournal();
        mOwner = new Node();
        mOwner.read();
        mOwner.takeOver();
    }

    private void assertEarlierJournalIsKnown() {
        assertEquals(mOwner.registry().job("aa").orElseThrow().phase(), JobPhase.QUEUED);
        assertEquals(mOwner.registry().job("bb").orElseThrow().phase(), JobPhase.RUNNING);
        assertEquals(mOwner.registry().job("cc").orElseThrow().phase(), JobPhase.CANCELLED);
        assertEquals(mOwner.registry().rebooted(1), Set.of("vm1"));
        assertEquals(mOwner.registry().earlyCancellations().count(), 1);
    }

    /** Guards against facts that only a journal which expires contains. */
    @Test
    public void whatAnEarlierVersionStoredIsKnownAfterItsJournalHasExpired() {
        takeOverFromEarlierVersion();
        assertEarlierJournalIsKnown();
        pass(10_000, 0);
        loseAllNodes(45_000);

        assertEarlierJournalIsKnown();
    }

    /** Guards against an owner of an earlier version beside one of this version. */
    @Test
    public void anOwnerOfAnEarlierVersionIsFencedForGood() {
        takeOverFromEarlierVersion();
        SharedLog.AppendResult[] result = new SharedLog.AppendResult[1];
        mLog.appendAs(
                EARLIER.get(0), new WriterEpoch("owner", 99, 0), List.of(), r -> result[0] = r);
        mLog.deliverAnswers();

        assertEquals(result[0], new SharedLog.Fenced());
    }

    /** Guards against reads of a journal that no version has ever written. */
    @Test
    public void anEarlierJournalThatIsEmptyIsNotReadAgain() {
        start(20_000);
        pass(10_000, 1);
        EARLIER.forEach(p -> assertTrue(mLog.reads(p) <= 2, mLog.reads(p) + " reads"));
    }
}
