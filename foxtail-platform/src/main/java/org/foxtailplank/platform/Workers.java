package org.foxtailplank.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/** The workers, and the tasks that they run under leases. */
public interface Workers {

    /** The workers that are powered on, of one availability zone if given, with their tasks. */
    CompletionStage<WorkerList> list(Optional<ZoneId> zone);

    /** Asks a worker to start a task; the same attempt again has no further effect. */
    CompletionStage<TaskReply> start(VmId worker, TaskStart start);

    /** Asks a worker to act on a task that it has. */
    CompletionStage<TaskReply> act(VmId worker, TaskId task, long attempt, TaskRequest request);

    /** Extends the lease of a task. */
    CompletionStage<TaskReply> renew(VmId worker, TaskId task, long attempt, Duration lease);
}
