package org.foxtailplank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.foxtailplank.it.process.RunningProcess;
import org.foxtailplank.soak.SoakEvent.Calm;

/** Plays one schedule with real nodes, and checks the promises. */
public final class SoakRun {
    /** Time until all is ready, before the first caller, in milliseconds. */
    private static final long READY_MS = 4000;

    /** How long nodes that were all killed stay down, in milliseconds. */
    private static final long DOWN_MS = 700;

    /** From when on after the end all accepted jobs are asked for, in milliseconds. */
    private static final long FINISH_MS = 14_000;

    /** How long a last job is waited for before all nodes are killed, in seconds. */
    private static final long LAST_JOB_S = 5;

    /** How long the questions at the end may take together, in seconds. */
    private static final long ASKING_S = 120;

    /** Within this time before the end each worker is to be polled, in milliseconds. */
    private static final long MAX_POLL_AGE_MS = 5000;

    private static final double MS_PER_S = 1000;

    private final Schedule mSchedule;
    private final Path mFolder;
    private final Consumer<String> mProgress;
    private final SoakHistory mHistory = new SoakHistory();
    private final List<String> mFaults = new ArrayList<>();

    /**
     * A run.
     *
     * @param folder where settings and the nodes' logs go
     * @param progress is told what happens
     */
    public SoakRun(Schedule schedule, Path folder, Consumer<String> progress) {
        mSchedule = schedule;
        mFolder = folder;
        mProgress = progress;
    }

    /**
     * What came of a run.
     *
     * @param events what others than the nodes saw
     * @param violations what broke each promise
     * @param faults what struck, as it was told
     */
    record Result(
            List<SoakEvent> events, Map<Promise, List<Violation>> violations, List<String> faults) {
        boolean isKept() {
            return violations.values().stream().allMatch(List::isEmpty);
        }
    }

    /** Plays it to the end. */
    Result play() throws IOException, InterruptedException {
        Files.createDirectories(mFolder);
        Files.writeString(mFolder.resolve("schedule.txt"), mSchedule.text());
        try (SoakSystem system = new SoakSystem(mSchedule, mFolder, mHistory);
                SoakCallers callers = new SoakCallers(system, mHistory, mSchedule.seed());
                FaultPlayer player = new FaultPlayer(system, callers, this::tell)) {
            play(system, callers, player);
        }
        List<SoakEvent> events = mHistory.events();
        Map<Promise, List<Violation>> violations = new EnumMap<>(Promise.class);
        for (Promise p : Promise.values()) {
            violations.put(p, p.check(events));
        }
        return new Result(events, violations, List.copyOf(mFaults));
    }

    private void tell(String text) {
        String line = String.format("%7.3f s  %s", mHistory.nowMs() / MS_PER_S, text);
        synchronized (mFaults) {
            mFaults.add(line);
        }
        mProgress.accept(line);
    }

    private void play(SoakSystem system, SoakCallers callers, FaultPlayer player)
            throws IOException, InterruptedException {
        system.startAll();
        pause(READY_MS);
        checkStarted(system);
        callers.come();
        player.play(mSchedule.faults());
        pause((long) (mSchedule.size().seconds() * MS_PER_S));
        player.endAll();
        tell("end " + mSchedule.ending().word());
        ending(system, callers);
        system.startAll();
        mHistory.add(Calm::new);
        // Jobs go on coming, so that it shows whether any are accepted after the end.
        pause(FINISH_MS);
        callers.leave();
        pause(FINISH_MS);
        for (String worker : system.platform().workersNotPolled(MAX_POLL_AGE_MS)) {
            mHistory.add(t -> new SoakEvent.NotPolled(t, worker));
        }
        int asked = await(callers.askAll());
        tell("asked " + asked + " times for all accepted jobs");
        for (SoakNode n : system.nodes()) {
            for (int status : n.ownEnds()) {
                mHistory.add(t -> new SoakEvent.EndedByItself(t, n.name(), status));
            }
        }
    }

    private static void checkStarted(SoakSystem system) throws IOException {
        for (SoakNode n : system.nodes()) {
            if (!n.isRunning()) {
                throw new IOException(n.name() + " has not started, see " + n.output());
            }
        }
    }

    private void ending(SoakSystem system, SoakCallers callers)
            throws IOException, InterruptedException {
        switch (mSchedule.ending()) {
            case ALL_KILLED -> killAll(system);
            case ALL_KILLED_AFTER_ACCEPT -> {
                CompletableFuture<Boolean> accepted = new CompletableFuture<>();
                callers.whenAccepted(() -> accepted.complete(true));
                await(accepted.completeOnTimeout(false, LAST_JOB_S, TimeUnit.SECONDS));
                oneOfEachZoneGone(system);
                killAll(system);
            }
            case OWNER_ZONE_GONE -> ownerZoneGone(system);
            default -> {}
        }
    }

    private static void killAll(SoakSystem system) throws InterruptedException {
        for (SoakNode n : system.nodes()) {
            kill(n);
        }
        pause(DOWN_MS);
    }

    private static void kill(SoakNode node) throws InterruptedException {
        if (node.process().isPresent()) {
            RunningProcess process = node.process().get();
            process.kill();
        }
    }

    private static void oneOfEachZoneGone(SoakSystem system) {
        List<String> seen = new ArrayList<>();
        for (SoakNode n : system.nodes()) {
            long inZone = system.nodes().stream().filter(o -> o.zone().equals(n.zone())).count();
            if (!seen.contains(n.zone()) && inZone > 1) {
                n.gone();
            }
            seen.add(n.zone());
        }
    }

    private static void ownerZoneGone(SoakSystem system) throws IOException, InterruptedException {
        String zone = system.owner().map(SoakNode::zone).orElse("");
        boolean others = system.nodes().stream().anyMatch(n -> !n.zone().equals(zone));
        for (SoakNode n : system.nodes()) {
            if (others && n.zone().equals(zone)) {
                n.gone();
                kill(n);
            }
        }
    }

    private static <T> T await(CompletableFuture<T> future) throws InterruptedException {
        try {
            return future.get(ASKING_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the questions at the end came to no end", e);
        }
    }

    private static void pause(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
    }
}
