package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.TypicalObjectives;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against reports of pools whose queues refuse nothing, and of owners that know nothing. */
public class OwnerCapacityTest extends OwnerFleetTestBase {
    private static final long SLO_MS = 600;

    private AdmissionSettings mSettings;
    private OwnerSession mOwner;
    private CapacitySource mCapacities;

    @BeforeMethod
    public void startOwner() {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, SLO_MS, Optional.empty());
        mRoutes = List.of(new RouteSettings("queue", "h", "/q/", SERVICE, policy, false));
        mSettings = new AdmissionSettings(AdmissionMode.SURELY_LATE, Map.of());
        mDirectory.add("w1", SERVICE);
        mDirectory.add("w2", SERVICE);
        mOwner = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        mCapacities = mOwner.capacities(() -> mSettings, new TypicalObjectives());
    }

    private List<PoolRoom> measure() {
        return mCapacities.measure(mTime.nowMs());
    }

    @Test
    public void nothingIsMeasuredBeforeTheOwnerHasReadTheJournal() {
        assertEquals(measure(), List.of());
    }

    @Test
    public void roomIsWhatThePoolDoesWithinTheObjective() {
        pass(500);
        PoolRoom room = measure().get(0);

        assertEquals(room.capacity().service(), SERVICE);
        assertEquals(room.capacity().measuredMs(), mTime.nowMs());
        assertTrue(room.capacity().milliCores() > 0);
        assertEquals(room.room(), room.capacity().milliCores() * SLO_MS);
    }

    @Test
    public void poolsOfQueuesWithoutAdmissionAreNotMeasured() {
        pass(500);
        mSettings =
                new AdmissionSettings(
                        AdmissionMode.SURELY_LATE, Map.of("queue", AdmissionMode.OFF));

        assertEquals(measure(), List.of());
    }

    @Test
    public void nothingIsMeasuredAfterTheOwnersWork() {
        pass(500);
        mOwner.end();

        assertEquals(measure(), List.of());
    }
}
