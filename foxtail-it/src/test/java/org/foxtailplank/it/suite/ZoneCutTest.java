package org.foxtailplank.it.suite;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import org.foxtailplank.it.history.HistoryChecker;
import org.foxtailplank.it.process.Await;
import org.foxtailplank.it.system.TestCallers;
import org.foxtailplank.it.system.TestSystem;
import org.testng.annotations.Test;

/** An availability zone is cut off in the middle of a maintenance wave. */
public final class ZoneCutTest {

    private record Wave(String id, Set<String> zones, String who, String why) {}

    /**
     * An operator starts a wave over z1. While its first VMs are drained, the node of z1, which
     * acts for that zone, is cut off from the platform and from the other nodes. Callers of z1 are
     * still served. Once the cut heals, or another node has taken over, the wave goes on to its
     * end, and no request in flight was cut off on the way.
     */
    @Test
    public void waveGoesOnAfterItsZoneWasCutOff() throws Exception {
        try (TestSystem system = TestSystem.start()) {
            TestCallers callers = TestCallers.start(system, system.zones());
            Await.until("first answers", () -> callers.served() > 50);
            system.post("z2", "/v1/waves", new Wave("w1", Set.of("z1"), "it", "kernel update"));
            Await.until("a VM under way", () -> wave(system).path("underWay").asInt() > 0);

            system.cutOff("z1");
            try (TestCallers local = TestCallers.start(system, List.of("z1"))) {
                Await.until("answers in the zone cut off", () -> local.served() > 50);
            }
            system.heal("z1");

            Await.until(
                    "the end of the wave",
                    () -> wave(system).path("phase").asText().equals("FINISHED"));
            callers.close();
            assertEquals(wave(system).path("maintained").asInt(), 4);
            assertEquals(system.platform().cutOff(), 0);
            system.recordExecutions();
            assertEquals(HistoryChecker.check(system.history()), List.of());
            assertEquals(callers.lost(), 0, callers.lost() + " lost\n" + system.outputs());
        }
    }

    private static JsonNode wave(TestSystem system) throws Exception {
        return system.get("z2", "/v1/waves/w1");
    }
}
