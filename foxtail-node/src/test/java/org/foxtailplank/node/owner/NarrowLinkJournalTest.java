package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the journal writer of an owner on a narrow link. */
public class NarrowLinkJournalTest {
    private static final int RECORD_BYTES = 10_000;
    private static final int RECORDS = 30;
    private static final int LINK_BYTES_IN_100_MS = 25_000;

    private FakeTime mTime;
    private FakeSharedLog mLog;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
    }

    private OwnerJournal journal(LinkRate link) {
        OwnerContext context =
                FakeOwnerContext.of(
                        mTime,
                        mLog,
                        true,
                        new ScheduleLimits(1, 1, 1),
                        link,
                        null,
                        null,
                        (record, job) -> {});
        OwnerJournal journal = new OwnerJournal(context, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        return journal;
    }

    private static void storeBacklog(OwnerJournal journal) {
        for (int i = 0; i < RECORDS; i++) {
            journal.storeHandedOver(new byte[RECORD_BYTES], outcome -> {});
        }
    }

    /** Guards against an append that grows while the link is full until it never gets through. */
    @Test
    public void recordsThatWaitForAnAppendAreStoredInPartsThatTheLinkCarries() {
        storeBacklog(journal(new LinkRate(2)));
        mLog.deliverAnswers();

        assertEquals(mLog.records(JournalPartitions.PRIMARY).size(), RECORDS);
        int largest = mLog.ownerAppendBytes().stream().max(Integer::compare).orElseThrow();
        assertTrue(largest <= LINK_BYTES_IN_100_MS, "append of " + largest + " bytes");
    }

    /** Guards against repetitions that fill the link while the first sending is on its way. */
    @Test
    public void anAppendIsNotSentAgainWhileTheLinkMayStillCarryIt() {
        OwnerJournal journal = journal(new LinkRate(2));
        mLog.scriptAppends(ScriptedOutcome.SILENT);
        journal.storeHandedOver(new byte[LINK_BYTES_IN_100_MS], outcome -> {});

        mTime.advance(500);
        assertEquals(mLog.ownerAppendBytes(), List.of(LINK_BYTES_IN_100_MS));

        mTime.advance(50);
        assertEquals(mLog.ownerAppendBytes().size(), 2, "sent again once it must have arrived");
    }

    @Test
    public void recordsThatWaitForAnAppendAreStoredTogetherOnALinkOfUnknownRate() {
        storeBacklog(journal(LinkRate.UNKNOWN));
        mLog.deliverAnswers();

        assertEquals(mLog.ownerAppendBytes(), List.of(RECORD_BYTES, (RECORDS - 1) * RECORD_BYTES));
    }
}
