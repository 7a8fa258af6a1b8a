package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.job.WorkerIncarnation;

/**
 * Requests placement advice for the step to which it is worth most now.
 *
 * <p>Recorded starts without a valid ticket come first, then steps that can start at once on
 * workers with room, in the order of their urgency. Tickets that a step can't use before they
 * expire are requested only for the most urgent step of a service. Services take turns.
 */
final class AdviceRequests {
    /** Limits the response time of the service, which grows with the workers named. */
    private static final int MAX_WORKERS = 30;

    private final AdvicePacer mPacer;

    /** Sequence number of the last request for each service. */
    private final Map<String, Long> mLastRequests = new HashMap<>();

    /** The most pressing candidate of each service in the current decision. */
    private final Map<String, Candidate> mCandidates = new HashMap<>();

    /** Services of which the current decision has already considered a step that waits. */
    private final Set<String> mServicesWaiting = new LinkedHashSet<>();

    private long mRequests;

    private record Candidate(AdviceNeed need, ActiveStep step, List<WorkerIncarnation> workers) {}

    AdviceRequests(Random random) {
        mPacer = new AdvicePacer(random);
    }

    /** Considers a step; a service's steps must come in the order of their urgency. */
    void consider(ActiveStep step, List<WorkerState> workers, OrganisationCaps caps, long nowMs) {
        if (!mPacer.isReady(nowMs)) {
            return;
        }
        String service = step.job().definition().service();
        Optional<AdviceNeed> best =
                Optional.ofNullable(mCandidates.get(service)).map(Candidate::need);
        Optional<Candidate> found = heldStarts(step, nowMs);
        boolean mayStart = best.map(AdviceNeed.START::isMorePressingThan).orElse(true);
        if (found.isEmpty() && mayStart && caps.admits(step, 1)) {
            found = waitingTask(step, workers, nowMs);
        }
        found.filter(c -> best.map(c.need()::isMorePressingThan).orElse(true))
                .ifPresent(c -> mCandidates.put(service, c));
    }

    private static Optional<Candidate> heldStarts(ActiveStep step, long nowMs) {
        Set<WorkerIncarnation> asked = new LinkedHashSet<>();
        for (TaskRun r : step.startsWithoutTicket(nowMs)) {
            asked.add(r.worker().incarnation());
        }
        return candidate(AdviceNeed.HELD_START, step, asked, nowMs);
    }

    private Optional<Candidate> waitingTask(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        Optional<ActiveTask> waiting =
                step.tasks().stream()
                        .filter(t -> t.isWaiting() && !t.isBackingOff(nowMs))
                        .findFirst();
        if (waiting.isEmpty()) {
            return move(step, workers, nowMs);
        }
        boolean first = mServicesWaiting.add(step.job().definition().service());
        ActiveTask task = waiting.get();
        if (step.spec().placement().gang()) {
            boolean fits = !GangPlacement.placeWithTickets(step, workers, nowMs).isEmpty();
            return fits ? withRoom(AdviceNeed.START, task, workers, nowMs) : Optional.empty();
        }
        if (WorkerChooser.choose(task, workers, nowMs).isPresent()) {
            return Optional.empty();
        }
        Optional<Candidate> start = withRoom(AdviceNeed.START, task, workers, nowMs);
        return start.isEmpty() && first ? room(task, workers, nowMs) : start;
    }

    /** A request for a task that is to move off its worker and has no place to go. */
    private static Optional<Candidate> move(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        Optional<ActiveTask> moving =
                step.tasks().stream()
                        .filter(t -> t.runs().stream().anyMatch(r -> r.worker().isEvacuating()))
                        .findFirst();
        return moving.filter(
                        t ->
                                workers.stream()
                                        .noneMatch(w -> WorkerChooser.canTakeOver(t, w, nowMs)))
                .flatMap(t -> withRoom(AdviceNeed.MOVE, t, workers, nowMs));
    }

    /** A request about workers that have room for a task. */
    private static Optional<Candidate> withRoom(
            AdviceNeed need, ActiveTask task, List<WorkerState> workers, long nowMs) {
        Set<WorkerIncarnation> asked = new LinkedHashSet<>();
        for (WorkerState w : workers) {
            if (WorkerChooser.canRunWithTicket(task, w, nowMs)) {
                asked.add(w.incarnation());
            }
        }
        return candidate(need, task.step(), asked, nowMs);
    }

    /** A request about any worker, for a task without a ticket for one that could be emptied. */
    private static Optional<Candidate> room(
            ActiveTask task, List<WorkerState> workers, long nowMs) {
        Set<WorkerIncarnation> asked = new LinkedHashSet<>();
        for (WorkerState w : workers) {
            if (w.isUsable(nowMs) && WorkerChooser.mayRun(task, w)) {
                if (task.step().advice(w.incarnation()).hasValidTicket(nowMs)) {
                    return Optional.empty();
                }
                asked.add(w.incarnation());
            }
        }
        return candidate(AdviceNeed.ROOM, task.step(), asked, nowMs);
    }

    private static Optional<Candidate> candidate(
            AdviceNeed need, ActiveStep step, Set<WorkerIncarnation> asked, long nowMs) {
        List<WorkerIncarnation> workers = new ArrayList<>(asked);
        workers.removeIf(w -> !step.advice(w).mayAsk(nowMs));
        if (workers.size() > MAX_WORKERS) {
            workers.subList(MAX_WORKERS, workers.size()).clear();
        }
        return workers.isEmpty()
                ? Optional.empty()
                : Optional.of(new Candidate(need, step, workers));
    }

    /** Adds the most pressing request to the decisions and forgets the other candidates. */
    void addRequest(Decisions out, long nowMs) {
        Optional<Candidate> chosen =
                mCandidates.entrySet().stream()
                        .min(
                                Map.Entry.<String, Candidate>comparingByValue(
                                                (a, b) -> a.need().compareTo(b.need()))
                                        .thenComparing(
                                                e -> mLastRequests.getOrDefault(e.getKey(), 0L)))
                        .map(Map.Entry::getValue);
        mCandidates.clear();
        mServicesWaiting.clear();
        chosen.ifPresent(c -> out.adviceRequests().add(request(c, nowMs)));
    }

    private Decisions.AdviceRequest request(Candidate candidate, long nowMs) {
        ActiveStep step = candidate.step();
        mLastRequests.put(step.job().definition().service(), ++mRequests);
        long timeoutMs =
                mPacer.begin(
                        step.job().definition().policy().advice().orElseThrow(),
                        candidate.workers().size(),
                        nowMs);
        return new Decisions.AdviceRequest(step, candidate.workers(), timeoutMs);
    }

    /** Records that a request was answered. */
    void answered(long nowMs) {
        mPacer.answered(nowMs);
    }

    /** Records that a request was rejected or timed out. */
    void failed(long nowMs) {
        mPacer.failed(nowMs);
    }
}
