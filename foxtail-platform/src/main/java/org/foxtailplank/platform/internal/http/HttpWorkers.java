package org.foxtailplank.platform.internal.http;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.TaskId;
import org.foxtailplank.platform.TaskReply;
import org.foxtailplank.platform.TaskReport;
import org.foxtailplank.platform.TaskRequest;
import org.foxtailplank.platform.TaskStart;
import org.foxtailplank.platform.WorkerList;
import org.foxtailplank.platform.WorkerReport;
import org.foxtailplank.platform.Workers;

/** The platform's workers over HTTP. */
public final class HttpWorkers implements Workers {

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final Set<Integer> EXPECTED = Set.of(NOT_FOUND, CONFLICT);

    private final PlatformCalls mCalls;

    /** A client that goes through the given calls. */
    public HttpWorkers(PlatformCalls calls) {
        mCalls = calls;
    }

    @Override
    public CompletionStage<WorkerList> list(Optional<ZoneId> zone) {
        return mCalls.get("/v1/workers" + Paths.zoneQuery(zone), Duration.ZERO, Set.of())
                .thenApply(a -> a.read(ListDocument.class, ListDocument::list));
    }

    @Override
    public CompletionStage<TaskReply> start(VmId worker, TaskStart start) {
        StartDocument document =
                new StartDocument(
                        start.task().text(),
                        start.attempt(),
                        start.lease().toMillis(),
                        start.processors(),
                        start.memoryBytes(),
                        start.accelerators());
        return mCalls.post(tasks(worker), document, EXPECTED)
                .thenApply(a -> reply(a.status(), TaskReply.UNKNOWN_WORKER));
    }

    @Override
    public CompletionStage<TaskReply> act(
            VmId worker, TaskId task, long attempt, TaskRequest request) {
        return act(worker, task, new ActDocument(attempt, Paths.word(request), 0));
    }

    @Override
    public CompletionStage<TaskReply> renew(
            VmId worker, TaskId task, long attempt, Duration lease) {
        return act(worker, task, new ActDocument(attempt, "renew", lease.toMillis()));
    }

    private CompletionStage<TaskReply> act(VmId worker, TaskId task, ActDocument document) {
        String path = tasks(worker) + "/" + Paths.segment(task.text()) + "/actions";
        return mCalls.post(path, document, EXPECTED)
                .thenApply(a -> reply(a.status(), TaskReply.UNKNOWN_TASK));
    }

    private static TaskReply reply(int status, TaskReply whenNotFound) {
        return switch (status) {
            case NOT_FOUND -> whenNotFound;
            case CONFLICT -> TaskReply.OTHER_ATTEMPT;
            default -> TaskReply.ACCEPTED;
        };
    }

    private static String tasks(VmId worker) {
        return "/v1/workers/" + Paths.segment(worker.value()) + "/tasks";
    }

    private record StartDocument(
            String task,
            long attempt,
            long leaseMs,
            int processors,
            long memoryBytes,
            int accelerators) {}

    private record ActDocument(long attempt, String action, long leaseMs) {}

    private record ListDocument(long asOfMs, List<WorkerDocument> workers) {

        WorkerList list() {
            return new WorkerList(
                    Instant.ofEpochMilli(asOfMs),
                    workers.stream().map(WorkerDocument::report).toList());
        }
    }

    private record WorkerDocument(
            String id, String zone, List<TaskDocument> tasks, UsageDocument usage) {

        WorkerReport report() {
            return new WorkerReport(
                    VmId.of(id),
                    ZoneId.of(zone),
                    tasks.stream().flatMap(TaskDocument::report).toList(),
                    new WorkerReport.Usage(usage.processors(), usage.memoryBytes()));
        }
    }

    private record UsageDocument(double processors, long memoryBytes) {}

    private record TaskDocument(
            String task, long attempt, String state, double processors, long memoryBytes) {

        /** The task; none where its name is not one of ours. */
        Stream<TaskReport> report() {
            TaskReport.Status status = TaskReport.Status.valueOf(Paths.constant(state));
            return TaskId.parse(task).stream()
                    .map(t -> new TaskReport(t, attempt, status, processors, memoryBytes));
        }
    }
}
