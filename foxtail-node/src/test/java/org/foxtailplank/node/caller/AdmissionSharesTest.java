package org.foxtailplank.node.caller;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.ShareDivision;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.Test;

/**
 * Guards against nodes that each accept what a report has room for: at the start of a turn, 41
 * nodes receive jobs of one queue within a heartbeat.
 */
public class AdmissionSharesTest {
    private static final int NODES = 41;
    private static final int JOBS_PER_NODE = 20;

    private final FakeTime mTime = new FakeTime();

    /** A quick job of 8 tasks. */
    private static JobDefinition job(String id) {
        TaskStep step =
                new TaskStep(
                        8,
                        new Resources(1500, 0, 0),
                        850,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                id, "q", "s", "", List.of(step), Timetable.AT_ONCE, policy, 0, 0, "");
    }

    /** Returns the work that all nodes accept, of the same report, beyond the room. */
    private long workBeyondRoom(long measuredMs, List<KnownCapacity> nodes, long[] acceptedBefore) {
        QueueCapacity capacity =
                new QueueCapacity("s", measuredMs, 300_000, 0, List.of(), 0, 0, 0, Map.of());
        long objectiveMs = job("a").objectiveLengthMs();
        long room = ShareDivision.room(capacity, objectiveMs);
        Map<Integer, Long> accepted = new LinkedHashMap<>();
        for (int n = 0; n < NODES; n++) {
            accepted.put(n, acceptedBefore[n]);
        }
        Map<Integer, Integer> parts = ShareDivision.parts(accepted);
        long sum = 0;
        for (int n = 0; n < NODES; n++) {
            KnownCapacity known = nodes.get(n);
            known.update(7, List.of(new PoolRoom(capacity, room).toReport(parts.get(n))));
            sum += acceptedWork(known, n);
        }
        return sum - room;
    }

    private long acceptedWork(KnownCapacity known, int node) {
        FakeJobQueries owner = new FakeJobQueries();
        owner.mRefusal = (id, callback) -> callback.accept(true);
        AdmissionSettings settings =
                new AdmissionSettings(AdmissionMode.BEYOND_OBJECTIVE, Map.of());
        AdmissionGate gate =
                new AdmissionGate(
                        known,
                        () -> settings,
                        owner,
                        mTime,
                        NodeLog.silent(mTime),
                        new NodeMetrics());
        for (int i = 0; i < JOBS_PER_NODE; i++) {
            gate.check(job(mTime.nowMs() + "-" + node + "-" + i), () -> false, refusal -> {});
        }
        return known.takeAcceptedWork().getOrDefault("s", 0L);
    }

    private static List<KnownCapacity> nodes() {
        List<KnownCapacity> nodes = new ArrayList<>();
        for (int n = 0; n < NODES; n++) {
            nodes.add(new KnownCapacity());
        }
        return nodes;
    }

    @Test
    public void nodesWithTheSameReportAcceptNoMoreThanTheRoomAndOneJobEach() {
        long beyond = workBeyondRoom(mTime.nowMs(), nodes(), new long[NODES]);

        assertTrue(beyond <= NODES * (long) job("a").estimatedWork(), "beyond the room: " + beyond);
    }

    @Test
    public void aBusyNodeMayUseMostOfTheRoom() {
        long[] before = new long[NODES];
        before[3] = 1_000_000;
        long beyond = workBeyondRoom(mTime.nowMs(), nodes(), before);

        assertTrue(beyond <= NODES * (long) job("a").estimatedWork(), "beyond the room: " + beyond);
    }

    @Test
    public void aReportThatDoesNotContainTheAcceptedJobsGrantsNoFurtherRoom() {
        // The jobs are still being stored, so that the next report shows the same room.
        List<KnownCapacity> nodes = nodes();
        long room = -workBeyondRoom(mTime.nowMs(), nodes, new long[NODES]);
        mTime.advance(200);
        long beyond = workBeyondRoom(mTime.nowMs(), nodes, new long[NODES]);

        assertTrue(
                beyond - room <= NODES * (long) job("a").estimatedWork(),
                "beyond the room: " + (beyond - room));
    }
}
