package org.foxtailplank.soak;

import java.util.List;
import java.util.Optional;

/**
 * A job of a caller.
 *
 * @param id its ID
 * @param pool the pool whose queue it goes to
 * @param steps tasks of each step; each step waits for the one before it
 * @param taskMs how long a task works, in milliseconds
 * @param processors processors of a task, in thousandths
 * @param standing whether its tasks run until it is cancelled
 * @param crashDelayMs how long after its start its first task crashes the worker, in milliseconds;
 *     negative: before the start is answered; empty if it crashes none
 * @param placement which workers its tasks may run on
 */
record SoakJob(
        String id,
        String pool,
        List<Integer> steps,
        long taskMs,
        long processors,
        boolean standing,
        Optional<Long> crashDelayMs,
        Placement placement) {
    SoakJob {
        steps = List.copyOf(steps);
    }

    /** Creates a job that crashes no worker. */
    SoakJob(
            String id,
            String pool,
            List<Integer> steps,
            long taskMs,
            long processors,
            boolean standing) {
        this(id, pool, steps, taskMs, processors, standing, Optional.empty(), Placement.ANYWHERE);
    }

    /**
     * Which workers the tasks of a job may run on.
     *
     * @param kind kind of the workers; empty for any
     * @param maxPerWorker most tasks of a step on one worker; 0 for no limit
     */
    record Placement(Optional<String> kind, int maxPerWorker) {
        static final Placement ANYWHERE = new Placement(Optional.empty(), 0);

        boolean admits(String workerKind) {
            return kind.map(workerKind::equals).orElse(true);
        }
    }

    /** The same job with tasks that may run on some workers only. */
    SoakJob with(Placement other) {
        return new SoakJob(id, pool, steps, taskMs, processors, standing, crashDelayMs, other);
    }

    /** Whether a task crashes each worker that starts it. */
    boolean isCrashing(String task) {
        return crashDelayMs.isPresent() && task.equals(RunsSeen.task(this, 0, 0));
    }

    /** The organisation that hands it in. */
    String organisation() {
        return SoakOrganisations.of(id);
    }

    int tasks() {
        return steps.stream().mapToInt(Integer::intValue).sum();
    }

    String path() {
        return '/' + pool + '/' + id;
    }

    /** The text that each of its tasks is started with. */
    String text() {
        String text = (standing ? "standing" : Long.toString(taskMs)) + ' ' + processors;
        return crashDelayMs.map(ms -> text + " crash " + ms).orElse(text);
    }

    /** What is handed in. */
    String body() {
        StringBuilder body = new StringBuilder("{\"spec\":\"").append(text()).append('"');
        body.append(",\"phases\":[");
        for (int s = 0; s < steps.size(); s++) {
            body.append(s == 0 ? "{" : ",{").append("\"count\":").append(steps.get(s));
            body.append(",\"cpu\":").append(processors).append(",\"memMb\":64");
            body.append(",\"estimateMs\":").append(taskMs);
            if (s > 0) {
                body.append(",\"dependsOn\":[").append(s - 1).append(']');
            }
            placement
                    .kind()
                    .ifPresent(k -> body.append(",\"requirements\":\"").append(k).append('"'));
            if (placement.maxPerWorker() > 0) {
                body.append(",\"antiAffinity\":").append(placement.maxPerWorker());
            }
            if (standing) {
                body.append(",\"longRunning\":true,\"mayMiss\":1");
            }
            body.append('}');
        }
        return body.append("]}").toString();
    }
}
