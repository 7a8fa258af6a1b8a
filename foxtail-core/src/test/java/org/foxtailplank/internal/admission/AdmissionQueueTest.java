package org.foxtailplank.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.request.RequestClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AdmissionQueueTest {

    private static final long MS = 1_000_000L;
    private static final long FAR = 1_000_000 * MS;
    private static final long MAX_BYTES = 10_000;

    private AdmissionQueue<String> mQueue;

    @BeforeMethod
    public void start() {
        mQueue = new AdmissionQueue<>(t -> t.equals("big") ? 0.75 : 0.25, MAX_BYTES);
    }

    @Test
    public void servesUrgentRequestsFirst() {
        mQueue.add(queuedRequest("batch", RequestClass.BATCH, "big", FAR));
        mQueue.add(queuedRequest("interactive", RequestClass.INTERACTIVE, "big", FAR));
        mQueue.add(queuedRequest("urgent", RequestClass.URGENT, "big", FAR));
        assertEquals(take(), "urgent");
        assertEquals(take(), "interactive");
        assertEquals(take(), "batch");
    }

    @Test
    public void sharesAmongTeamsByQuota() {
        for (int i = 0; i < 8; i++) {
            mQueue.add(queuedRequest("small", RequestClass.BATCH, "small", FAR));
        }
        for (int i = 0; i < 8; i++) {
            mQueue.add(queuedRequest("big", RequestClass.BATCH, "big", FAR));
        }
        int big = 0;
        for (int i = 0; i < 8; i++) {
            big += take().equals("big") ? 1 : 0;
        }
        assertEquals(big, 6);
    }

    @Test
    public void idleTeamAccumulatesNoCredit() {
        for (int i = 0; i < 12; i++) {
            mQueue.add(queuedRequest("small", RequestClass.BATCH, "small", FAR));
        }
        for (int i = 0; i < 4; i++) {
            take();
        }
        for (int i = 0; i < 12; i++) {
            mQueue.add(queuedRequest("big", RequestClass.BATCH, "big", FAR));
        }
        int small = 0;
        for (int i = 0; i < 8; i++) {
            small += take().equals("small") ? 1 : 0;
        }
        assertTrue(small == 1 || small == 2, "requests of the small team among 8: " + small);
    }

    /** Guards against requests that are queued only to miss their deadline. */
    @Test
    public void rejectsRequestsThatWouldMissTheirDeadline() {
        backlog(100, 10 * MS);
        Admission a =
                mQueue.check(
                        queuedRequest("x", RequestClass.BATCH, "big", 1000 * MS + 500 * MS),
                        0,
                        1000 * MS);
        assertEquals(a.reason(), Admission.Reason.TOO_LATE);
        assertTrue(a.waitNanos() >= 500 * MS, "retry after " + a.waitNanos());
    }

    @Test
    public void admitsAnUrgentRequestDespiteABatchBacklog() {
        backlog(100, 10 * MS);
        QueuedRequest<String> urgent =
                queuedRequest("x", RequestClass.URGENT, "big", 1000 * MS + 500 * MS);
        assertTrue(mQueue.check(urgent, 0, 1000 * MS).admitted());
    }

    @Test
    public void reportsThatATeamIsOverItsQuota() {
        backlog(100, 10 * MS);
        mQueue.add(queuedRequest("other", RequestClass.BATCH, "small", FAR));
        QueuedRequest<String> request = queuedRequest("x", RequestClass.BATCH, "big", 1100 * MS);
        assertEquals(mQueue.check(request, 0, 1000 * MS).reason(), Admission.Reason.OVER_QUOTA);
    }

    @Test
    public void removesRequestsThatCanNoLongerMeetTheirDeadline() {
        mQueue.add(queuedRequest("soon", RequestClass.BATCH, "big", 100 * MS));
        mQueue.add(queuedRequest("later", RequestClass.BATCH, "big", 300 * MS));
        List<QueuedRequest<String>> expired = mQueue.removeExpired(20 * MS, 90 * MS);
        assertEquals(expired.stream().map(QueuedRequest::request).toList(), List.of("soon"));
        assertEquals(mQueue.size(), 1);
    }

    @Test
    public void enforcesTheMemoryLimit() {
        QueuedRequest<String> large =
                new QueuedRequest<>("x", RequestClass.URGENT, "big", FAR, 6000);
        assertTrue(mQueue.check(large, 0, 0).admitted());
        mQueue.add(large);
        assertEquals(mQueue.check(large, 0, 0).reason(), Admission.Reason.FULL);
        take();
        assertTrue(mQueue.check(large, 0, 0).admitted());
    }

    @Test
    public void admitsRequestsWhileTheQueueIsEmpty() {
        assertFalse(mQueue.take(0).isPresent());
        assertTrue(
                mQueue.check(queuedRequest("x", RequestClass.BATCH, "big", 10 * MS), 5 * MS, 0)
                        .admitted());
    }

    /** Queues batch requests of one team, dispatched at a fixed interval until 1000 ms. */
    private void backlog(int size, long interval) {
        for (int i = 0; i < size + 10; i++) {
            mQueue.add(queuedRequest("b", RequestClass.BATCH, "big", FAR));
        }
        long now = 1000 * MS - 10 * interval;
        mQueue.backlogStarted(now);
        for (int i = 0; i < 10; i++) {
            now += interval;
            mQueue.take(now);
            mQueue.backlogStarted(now);
        }
    }

    private String take() {
        return mQueue.take(0).orElseThrow().request();
    }

    private static QueuedRequest<String> queuedRequest(
            String item, RequestClass c, String team, long deadline) {
        return new QueuedRequest<>(item, c, team, deadline, 10);
    }
}
