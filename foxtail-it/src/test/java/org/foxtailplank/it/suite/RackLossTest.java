package org.foxtailplank.it.suite;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.it.history.HistoryChecker;
import org.foxtailplank.it.process.Await;
import org.foxtailplank.it.system.TestCallers;
import org.foxtailplank.it.system.TestSystem;
import org.testng.annotations.Test;

/** A rack is lost while configuration is published. */
public final class RackLossTest {

    private record RackFault(String target, String kind, String rack) {}

    /**
     * An operator publishes while a rack of z2 loses its power, with requests in flight on it. What
     * was in flight there is answered as unknown, or again by another instance where it may be
     * repeated; nothing that must not be repeated runs twice, and the configuration comes in force
     * at each node.
     */
    @Test
    public void configurationComesInForceWhileRackIsLost() throws Exception {
        try (TestSystem system = TestSystem.start()) {
            long before = system.configuration("z1");
            TestCallers callers = TestCallers.start(system, system.zones());
            Await.until("first answers", () -> callers.served() > 50);

            system.platformFault(new RackFault("vms", "fail", "z2-r1"));
            long after = system.publish(before, "while a rack is lost");
            int served = callers.served();
            Await.until("answers after the loss", () -> callers.served() > served + 100);
            callers.close();

            for (String zone : system.zones()) {
                assertEquals(system.configuration(zone), after);
            }
            system.recordExecutions();
            assertEquals(HistoryChecker.check(system.history()), List.of());
            assertEquals(callers.lost(), 0, callers.lost() + " lost\n" + system.outputs());
        }
    }
}
