package org.foxtailplank.load.internal.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailplank.load.internal.profile.PlannedRequest;
import org.foxtailplank.load.internal.profile.Traffic;
import org.foxtailplank.load.internal.result.StepResult;
import org.testng.annotations.Test;

/** The open loop. */
public class OpenLoopTest {

    private static final Duration STEP = Duration.ofMillis(10);

    /*
     * A tool that waits for each answer sends nothing while the system stalls, and reports a fine
     * p99. Here no answer comes until all requests were sent; a closed loop would never end.
     */
    @Test
    public void sendsOnWhileNothingIsAnswered() throws Exception {
        List<CompletableFuture<Ending>> open = new ArrayList<>();
        StepResult result =
                OpenLoop.over(
                                r -> {
                                    open.add(new CompletableFuture<>());
                                    CompletableFuture<Ending> mine = open.get(open.size() - 1);
                                    if (open.size() == 20) {
                                        open.forEach(f -> f.complete(Ending.OK));
                                    }
                                    return mine;
                                })
                        .run(1, plan(20, 60_000), STEP);

        assertEquals(result.count(Ending.OK), 20);
    }

    @Test
    public void countsAnAnswerAfterItsDeadlineAsLate() throws Exception {
        StepResult result =
                OpenLoop.over(r -> CompletableFuture.completedFuture(Ending.OK))
                        .run(1, plan(3, 0), STEP);

        assertEquals(result.count(Ending.LATE), 3);
        assertEquals(result.goodputPerSecond(), 0.0);
    }

    @Test
    public void countsAFailedSendAsAnError() throws Exception {
        StepResult result =
                OpenLoop.over(r -> CompletableFuture.failedFuture(new IllegalStateException("x")))
                        .run(1, plan(2, 1000), STEP);

        assertTrue(result.count(Ending.ERROR) == 2, result.toString());
    }

    private static List<PlannedRequest> plan(int n, long deadlineMs) {
        Traffic traffic =
                new Traffic("t", "s", 1, "urgent", "team", true, false, Math.max(1, deadlineMs), 0);
        List<PlannedRequest> plan = new ArrayList<>();
        for (int i = 1; i <= n; i++) {
            // An intended time before the start stands for a request that is sent late.
            long at = deadlineMs == 0 ? -Duration.ofSeconds(1).toNanos() : i;
            plan.add(new PlannedRequest(i, at, traffic, "id-" + i));
        }
        return plan;
    }
}
