package org.foxtailplank.it.suite;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.it.history.HistoryChecker;
import org.foxtailplank.it.process.Await;
import org.foxtailplank.it.system.TestCallers;
import org.foxtailplank.it.system.TestSystem;
import org.testng.annotations.Test;

/** The platform is gone for a while, and an entry is replaced meanwhile. */
public final class PlatformOutageTest {

    /**
     * Every way to the platform is cut. The entry VM of one zone is lost and its successor starts
     * with nobody but its peers to learn from. Callers notice no more than a retry: each repeatable
     * request is answered, nothing runs twice, and no answer is wrong. When the platform is back,
     * the configuration that the system had is still in force and a new one gets through.
     */
    @Test
    public void entryIsReplacedWhileThePlatformIsGone() throws Exception {
        try (TestSystem system = TestSystem.start()) {
            long before = system.configuration("z1");
            TestCallers callers = TestCallers.start(system, system.zones());
            Await.until("first answers", () -> callers.served() > 50);

            system.zones().forEach(z -> system.toPlatform(z).cut());
            system.node("z1").kill();
            system.startNode("z1");
            system.awaitServing("z1");
            system.awaitVersion("z1", before);
            int served = callers.served();
            Await.until("answers without the platform", () -> callers.served() > served + 100);

            system.zones().forEach(z -> system.toPlatform(z).heal());
            long after = system.publish(before, "after the outage");
            callers.close();
            assertTrue(after > before);
            system.recordExecutions();
            assertEquals(HistoryChecker.check(system.history()), java.util.List.of());
            assertEquals(callers.lost(), 0, callers.lost() + " lost\n" + system.outputs());
        }
    }
}
