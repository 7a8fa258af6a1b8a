package org.foxtailplank.node.owner;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.Test;

/** Guards against an owner that takes over without the arrivals of the journal. */
public class InheritedForecastTest extends OwnerFleetTestBase {
    private static final int JOBS = 5;

    /** Takes over when the jobs of the last seconds are in the journal; returns the log. */
    private String takeOver() {
        pass(70_000);
        for (int i = 0; i < JOBS; i++) {
            long acceptedMs = mTime.wallMs() - 1000L * i;
            mLog.append(
                    JournalPartitions.all(1).get(0),
                    List.of(job("00000000000000a" + i, RunMode.PLAIN, acceptedMs)),
                    result -> {});
        }
        mLog.deliverAnswers();
        startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        pass(500);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        mContexts.get(0).log().flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void aNewOwnerLearnsTheArrivalsOfTheJournal() {
        mForecastBursts = true;

        String log = takeOver();
        assertTrue(log.contains("\"inheritedArrivals\":" + JOBS), log);
    }

    @Test
    public void withoutForecastsAnOwnerLearnsNoArrivals() {
        String log = takeOver();
        assertTrue(log.contains("\"inheritedArrivals\":0"), log);
    }
}
