package org.foxtailplank.platform.internal.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How one process follows and writes the stream of the fleet. */
public class FollowedFleetLogTest {
    private static final TeamId TEAM = TeamId.of("adjusters");
    private static final FollowOptions OPTIONS =
            FollowOptions.of("entry-1", Duration.ofSeconds(20), Duration.ofDays(7));
    private MemoryPlatformLog mLog;
    private FollowedFleetLog mFleet;

    @BeforeMethod
    public void start() {
        mLog = new MemoryPlatformLog();
        mFleet = FollowedFleetLog.start(mLog, OPTIONS);
    }

    @AfterMethod
    public void stop() {
        mFleet.close();
    }

    @Test
    public void tellsTheVerdictOnceARecordIsFolded() throws Exception {
        assertTrue(get(mFleet.submit(quota("r1", 0.5))).isApplied());
        assertEquals(get(mFleet.read(v -> v.teamQuota(TEAM))).getAsDouble(), 0.5);
    }

    @Test
    public void givesOneOfTwoRacingOperatorsTheConflict() throws Exception {
        try (FollowedFleetLog other = FollowedFleetLog.start(mLog, OPTIONS)) {
            CompletionStage<Verdict> a = mFleet.submit(quotaFrom(0, "a", 0.2));
            CompletionStage<Verdict> b = other.submit(quotaFrom(0, "b", 0.3));
            boolean first = get(a).isApplied();
            assertEquals(get(b).isApplied(), !first);
            Verdict lost = get(first ? b : a);
            assertEquals(((Verdict.Void) lost).reason(), VoidReason.STALE_VERSION);
            assertEquals(get(other.read(v -> v.teamQuota(TEAM))).getAsDouble(), first ? 0.2 : 0.3);
        }
    }

    /**
     * An operator's change takes effect, yet the platform's answer is lost on the way back. The
     * operator must learn that it took effect, and a second try must not change anything again.
     */
    @Test
    public void findsARecordWhoseAnswerWasLost() throws Exception {
        mLog.loseAnswers(1);
        assertTrue(get(mFleet.submit(quota("r1", 0.5))).isApplied());
        assertTrue(get(mFleet.submit(quota("r1", 0.5))).isApplied());
        assertEquals(mLog.appends(), 1);
    }

    @Test
    public void saysThatARefusedAppendHadNoEffect() throws Exception {
        mLog.refuseAppends(1);
        ExecutionException e =
                expectThrows(ExecutionException.class, () -> get(mFleet.submit(quota("r1", 0.5))));
        assertEquals(((PlatformException) e.getCause()).effect(), Effect.NONE);
        assertEquals(get(mFleet.read(FleetView::nextOffset)).longValue(), 1L);
    }

    private static LogRecord quota(String id, double quota) {
        return record(id, Map.of(), quota);
    }

    private static LogRecord quotaFrom(long version, String id, double quota) {
        return record(id, Map.of(ObjectKey.of(TEAM), version), quota);
    }

    private static LogRecord record(String id, Map<ObjectKey, Long> expects, double quota) {
        return new LogRecord(
                RecordId.of(id),
                NodeId.of("entry-1"),
                Optional.empty(),
                expects,
                new TeamQuotaChanged(TEAM, quota, new ChangeAuthor("ivana", "test")));
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
