package org.foxtailplank.soak;

import static org.foxtailplank.soak.PromiseBounds.ADDED;
import static org.foxtailplank.soak.PromiseBounds.BEFORE;
import static org.foxtailplank.soak.PromiseBounds.CANCEL_MS;
import static org.foxtailplank.soak.PromiseBounds.CAPACITY_KNOWN_MS;
import static org.foxtailplank.soak.PromiseBounds.CAP_KNOWN_MS;
import static org.foxtailplank.soak.PromiseBounds.CONFIG_MS;
import static org.foxtailplank.soak.PromiseBounds.CRASHES_BEFORE_LAST_STARTS;
import static org.foxtailplank.soak.PromiseBounds.CRASHES_TO_GIVE_UP;
import static org.foxtailplank.soak.PromiseBounds.LAST_STARTS;
import static org.foxtailplank.soak.PromiseBounds.NOW;
import static org.foxtailplank.soak.PromiseBounds.OK;
import static org.foxtailplank.soak.PromiseBounds.OVERRUN;
import static org.foxtailplank.soak.PromiseBounds.RECOVERY_MS;
import static org.foxtailplank.soak.PromiseBounds.RESTART_MS;
import static org.foxtailplank.soak.PromiseBounds.REVOKED;
import static org.foxtailplank.soak.PromiseBounds.REVOKE_MS;
import static org.foxtailplank.soak.PromiseBounds.SERVED_PART;
import static org.foxtailplank.soak.PromiseBounds.STARTUP_MS;
import static org.foxtailplank.soak.PromiseBounds.UNAUTHORIZED;
import static org.foxtailplank.soak.PromiseBounds.UNTIL;
import static org.foxtailplank.soak.PromiseBounds.VISIBLE_MS;
import static org.foxtailplank.soak.PromiseBounds.WAITING_MS;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.soak.SoakEvent.Acknowledged;
import org.foxtailplank.soak.SoakEvent.AskedAtEnd;
import org.foxtailplank.soak.SoakEvent.CancelSent;
import org.foxtailplank.soak.SoakEvent.Cancelled;
import org.foxtailplank.soak.SoakEvent.Ended;
import org.foxtailplank.soak.SoakEvent.Started;
import org.foxtailplank.soak.SoakEvent.SubmitAnswer;
import org.foxtailplank.soak.SoakEvent.Submitted;
import org.foxtailplank.soak.SoakEvent.Told;
import org.foxtailplank.soak.SoakEvent.ToldPending;
import org.foxtailplank.soak.SoakEvent.VmCalled;

/** A promise to the users, and what breaks it in a history that others than the nodes saw. */
enum Promise {
    /** No task runs twice at a time, or again after an owner took note that it is done. */
    TWICE {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof Started e) {
                Set<String> others = new HashSet<>(scan.runs().workers(e.task()));
                others.remove(e.worker());
                if (!others.isEmpty()) {
                    scan.broken(e, e.task() + " starts on " + e.worker() + ", runs on " + others);
                }
                if (scan.runs().isNoted(e.task())) {
                    scan.broken(e, e.task() + " starts again, its end was taken note of");
                }
                scan.runs()
                        .doneAttempts(e.task())
                        .forEach(a -> scan.note(RunsSeen.run(e.task(), a)));
            } else if (event instanceof Acknowledged e
                    && e.how().equals("done")
                    && scan.isNoted(RunsSeen.run(e.task(), e.attempt()))) {
                scan.broken(e, e.task() + " had started again before its end was taken note of");
            }
        }
    },

    /** An accepted job is known at every node, told truly, and done in the end. */
    LOST {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SubmitAnswer e && e.isAccepted()) {
                scan.since(e.job(), e.atMs());
            } else if (event instanceof SoakEvent.CapSet e) {
                scan.since(e.organisation(), e.processors());
            } else if (event instanceof CancelSent e) {
                scan.note(e.job());
            } else if (event instanceof Told e) {
                told(e, scan);
            } else if (event instanceof AskedAtEnd e) {
                askedAtEnd(e, scan);
            }
        }

        private void told(Told e, Scan scan) {
            long acceptedMs = scan.since(e.job()).orElse(e.atMs());
            if (e.state().equals("410") && e.atMs() - acceptedMs > VISIBLE_MS) {
                scan.broken(e, e.job() + " is accepted, and node " + e.node() + " says 410");
            } else if (e.state().equals("failed") && !mayFail(e.job(), scan)
                    || e.state().equals("cancelled") && !scan.isNoted(e.job())) {
                scan.broken(e, e.job() + " is told to be " + e.state() + " without a cause");
            }
        }

        /** Whether a task of the job has crashed as many workers as allow to give it up. */
        private boolean mayFail(String id, Scan scan) {
            SoakJob job = scan.runs().job(id);
            String first = RunsSeen.task(job, 0, 0);
            return job.isCrashing(first) && scan.runs().crashes(first) >= CRASHES_TO_GIVE_UP;
        }

        private void askedAtEnd(AskedAtEnd e, Scan scan) {
            if (e.status() != OK) {
                String answer = e.status() == 0 ? "no answer" : "status " + e.status();
                scan.broken(
                        e, "at the end node " + e.node() + " gives " + answer + " on " + e.job());
                return;
            }
            SoakJob job = scan.runs().job(e.job());
            boolean ends =
                    !job.standing()
                            && !scan.isNoted(e.job())
                            && !mayStartOn(job, scan)
                            && scan.runs().hasWorkerFor(job, e.atMs() - RESTART_MS)
                            && !isHeldBackByCap(job, scan);
            String end = job.crashDelayMs().isPresent() ? "failed" : "completed";
            if (ends && !e.state().equals(end)) {
                scan.broken(e, "at the end " + e.job() + " is " + e.state());
            } else if (job.standing() && !scan.isNoted(e.job()) && isAway(job, e, scan)) {
                scan.broken(e, "at the end a task of the standing job " + e.job() + " is away");
            }
        }

        /**
         * Whether the job's organisation uses half of its cap or more, so that the job may wait.
         */
        private boolean isHeldBackByCap(SoakJob job, Scan scan) {
            long cap = scan.since(job.organisation()).orElse(0L);
            return cap > 0 && 2 * scan.runs().processorsOf(job.organisation()) >= cap;
        }

        /** Whether a task of the job crashes its workers and has starts left. */
        private boolean mayStartOn(SoakJob job, Scan scan) {
            int crashes = scan.runs().crashes(RunsSeen.task(job, 0, 0));
            return job.crashDelayMs().isPresent()
                    && crashes < CRASHES_BEFORE_LAST_STARTS + LAST_STARTS;
        }

        private boolean isAway(SoakJob job, AskedAtEnd e, Scan scan) {
            for (int i = 0; i < job.tasks(); i++) {
                if (scan.runs().isAwaySince(RunsSeen.task(job, 0, i), e.atMs() - RESTART_MS)) {
                    return true;
                }
            }
            return false;
        }
    },

    /** Nothing starts that nobody handed in, with another text, or long after its cancelling. */
    UNASKED {
        @Override
        void see(SoakEvent event, Scan scan) {
            scan.since(NOW, event.atMs());
            if (event instanceof Cancelled e) {
                scan.since(e.job(), e.atMs());
            } else if (event instanceof Started e) {
                String id = SoakEvent.jobOf(e.task());
                SoakJob job = scan.runs().job(id);
                if (job == null || !job.text().equals(e.text())) {
                    scan.broken(e, e.task() + " starts, and nobody has handed that in");
                } else if (scan.since(id).map(t -> e.atMs() - t > CANCEL_MS).orElse(false)) {
                    scan.broken(e, e.task() + " starts long after its job was cancelled");
                }
            }
        }

        @Override
        void end(Scan scan) {
            long now = scan.since(NOW).orElse(0L);
            for (String task : scan.runs().running()) {
                String id = SoakEvent.jobOf(task);
                if (scan.since(id).map(t -> now - t > CANCEL_MS).orElse(false)) {
                    scan.broken(now, task + " still runs long after its job was cancelled");
                }
            }
        }
    },

    /** What callers were told will never run doesn't run. */
    REFUSED {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof Submitted e) {
                scan.count(e.job().id(), 1);
            } else if (event instanceof SubmitAnswer e && e.isRefused()) {
                scan.count(e.job(), -1);
            } else if (event instanceof Started e) {
                scan.note(SoakEvent.jobOf(e.task()));
            }
        }

        @Override
        void end(Scan scan) {
            for (String job : scan.noted()) {
                if (scan.runs().job(job) != null && scan.count(job, 0) == 0) {
                    scan.broken(0, job + " has run, and each try to hand it in was refused");
                }
            }
        }
    },

    /** A task that crashes the workers that start it is soon started no more. */
    BUDGET {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (!(event instanceof Started e)) {
                return;
            }
            SoakJob job = scan.runs().job(SoakEvent.jobOf(e.task()));
            boolean counts = job != null && job.isCrashing(e.task());
            if (counts && scan.runs().crashes(e.task()) >= CRASHES_BEFORE_LAST_STARTS) {
                if (scan.count(e.task(), 1) > LAST_STARTS) {
                    scan.broken(e, e.task() + " starts again, three workers crashed under it");
                }
            }
        }
    },

    /** No start brings a worker over its capacity, as it was in the last seconds. */
    LIMIT {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.CapacityChanged e) {
                scan.runs().note(e);
            } else if (event instanceof Started e) {
                long used = scan.runs().processors(e.worker()) + SoakEvent.processorsOf(e.text());
                long room = scan.runs().capacity(e.worker(), e.atMs() - CAPACITY_KNOWN_MS);
                if (used > room) {
                    scan.broken(e, e.task() + " brings " + e.worker() + " to " + used);
                }
            }
        }
    },

    /** No task starts on a worker of another pool or kind, or beside too many of its step. */
    ROUTE {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof Started e) {
                scan.runs().misplacement(e).ifPresent(why -> scan.broken(e, why));
            }
        }
    },

    /** No step starts before the one that it waits for is done. */
    ORDER {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof Started e) {
                SoakJob job = scan.runs().job(SoakEvent.jobOf(e.task()));
                int step = Integer.parseInt(e.task().split("\\.")[2]);
                if (job != null && step > 0 && !scan.runs().isStepDone(job, step - 1)) {
                    scan.broken(e, e.task() + " starts before the step before it is done");
                }
            }
        }
    },

    /** A job is told to be completed only once all of it is, and waiting jobs are told of. */
    MIXED {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SubmitAnswer e && e.isAccepted()) {
                scan.since(e.job(), Math.min(scan.since(e.job()).orElse(e.atMs()), e.atMs()));
            } else if (event instanceof Started e) {
                scan.note(SoakEvent.jobOf(e.task()));
            } else if (event instanceof CancelSent e) {
                scan.note(e.job());
            } else if (event instanceof ToldPending e) {
                toldPending(e, scan);
            } else if (event instanceof Told e && e.state().equals("completed")) {
                SoakJob job = scan.runs().job(e.job());
                for (int s = 0; s < job.steps().size(); s++) {
                    if (!scan.runs().isStepDone(job, s)) {
                        scan.broken(e, e.job() + " is told to be completed, step " + s + " isn't");
                    }
                }
            }
        }

        private void toldPending(ToldPending e, Scan scan) {
            long waiting =
                    scan.sinceAll().entrySet().stream()
                            .filter(j -> e.atMs() - j.getValue() > WAITING_MS)
                            .filter(j -> !scan.isNoted(j.getKey()))
                            .filter(j -> scan.runs().job(j.getKey()).pool().equals(e.pool()))
                            .count();
            if (2L * e.count() < waiting) {
                scan.broken(
                        e,
                        "node "
                                + e.node()
                                + " tells of "
                                + e.count()
                                + " waiting jobs of "
                                + e.pool()
                                + ", "
                                + waiting
                                + " wait");
            }
        }
    },

    /** Orders for a VM come from the newest owner. */
    ONE {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof VmCalled e) {
                long highest = scan.since(e.vm()).orElse(0L);
                if (e.token() < highest) {
                    scan.broken(
                            e,
                            e.action()
                                    + " of "
                                    + e.vm()
                                    + " by token "
                                    + e.token()
                                    + " after "
                                    + highest);
                }
                scan.since(e.vm(), Math.max(highest, e.token()));
            }
        }
    },

    /** Of a standing job no more tasks are taken away at a time than it may miss. */
    AVAIL {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof CancelSent e) {
                scan.note(e.job());
            } else if (event instanceof SoakEvent.Draining e) {
                scan.note(e.worker());
            } else if (event instanceof Ended e && e.how().equals("stopped")) {
                stopped(e, scan);
            }
        }

        private void stopped(Ended e, Scan scan) {
            String id = SoakEvent.jobOf(e.task());
            SoakJob job = scan.runs().job(id);
            boolean counts = job != null && job.standing() && !scan.isNoted(id);
            if (!counts || scan.isNoted(e.worker())) {
                return;
            }
            long away = 0;
            for (int i = 0; i < job.tasks(); i++) {
                String other = RunsSeen.task(job, 0, i);
                boolean working = scan.runs().hasRunFor(other, STARTUP_MS, e.atMs());
                boolean ordered = scan.since(other).isPresent();
                away += !other.equals(e.task()) && ordered && !working ? 1 : 0;
            }
            if (away >= 1) {
                scan.broken(e, e.task() + " is taken away while " + away + " others are");
            }
            scan.since(e.task(), e.atMs());
        }
    },

    /** A key is accepted soon after it was added, and no more soon after it was revoked. */
    KEYS {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.KeyChanged e) {
                scan.since(e.key() + (e.valid() ? ADDED : REVOKED), e.atMs());
            } else if (event instanceof SoakEvent.KeyAnswered e) {
                answered(e, scan);
            }
        }

        private void answered(SoakEvent.KeyAnswered e, Scan scan) {
            Optional<Long> added = scan.since(e.key() + ADDED);
            Optional<Long> revoked = scan.since(e.key() + REVOKED);
            boolean served = e.status() / 100 == 2;
            if (served && added.isEmpty()) {
                scan.broken(e, "node " + e.node() + " serves a key that never was valid");
            } else if (served && revoked.isPresent() && e.sentMs() - revoked.get() > REVOKE_MS) {
                scan.broken(e, "node " + e.node() + " serves " + e.key() + " long after its end");
            } else if (e.status() == UNAUTHORIZED
                    && added.isPresent()
                    && revoked.isEmpty()
                    && e.sentMs() - added.get() > CONFIG_MS) {
                scan.broken(e, "node " + e.node() + " doesn't know " + e.key());
            }
        }
    },

    /** A route is served soon after it was added, and no node goes back to an older version. */
    CONFIG {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.RouteChanged e) {
                scan.routes().changed(e);
            } else if (event instanceof SoakEvent.RouteAnswered e) {
                scan.routes().answered(e).ifPresent(problem -> scan.broken(e, problem));
            }
        }
    },

    /** No start brings an organisation clearly over its cap, as it was in the last seconds. */
    QUOTA {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.CapSet e) {
                long before = scan.since(e.organisation()).orElse(e.processors());
                scan.since(e.organisation(), e.processors());
                if (e.processors() < before) {
                    scan.since(e.organisation() + BEFORE, before);
                    scan.since(e.organisation() + UNTIL, e.atMs() + CAP_KNOWN_MS);
                }
            } else if (event instanceof Started e) {
                started(e, scan);
            }
        }

        private void started(Started e, Scan scan) {
            String organisation = SoakOrganisations.of(SoakEvent.jobOf(e.task()));
            long cap = scan.since(organisation).orElse(0L);
            if (e.atMs() < scan.since(organisation + UNTIL).orElse(0L)) {
                cap = Math.max(cap, scan.since(organisation + BEFORE).orElse(0L));
            }
            long used = scan.runs().processorsOf(organisation);
            if (cap > 0 && used > cap * OVERRUN) {
                scan.broken(e, e.task() + " starts while " + organisation + " uses " + used);
            }
        }
    },

    /** After all were lost the system serves again. */
    RECOVER {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.Calm e) {
                scan.since("calm", e.atMs());
            } else if (event instanceof Submitted e && isLate(e, scan)) {
                scan.since(e.job().id(), e.atMs());
            } else if (event instanceof SubmitAnswer e && scan.since(e.job()).isPresent()) {
                // Callers that leave don't wait for an answer, so that they can't be served.
                scan.count("sent", 1);
                scan.count("served", e.isAccepted() ? 1 : 0);
            }
        }

        private boolean isLate(SoakEvent e, Scan scan) {
            return scan.since("calm").map(t -> e.atMs() - t > RECOVERY_MS).orElse(false);
        }

        @Override
        void end(Scan scan) {
            long sent = scan.count("sent", 0);
            if (sent > 0 && scan.count("served", 0) * SERVED_PART < sent) {
                scan.broken(
                        0,
                        "of "
                                + sent
                                + " jobs handed in after the end "
                                + scan.count("served", 0)
                                + " were accepted");
            }
        }
    },

    /** No process of a node ends by itself. */
    EXIT {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.EndedByItself e) {
                scan.broken(e, e.node() + " ended by itself with status " + e.status());
            }
        }
    },

    /** An owner polls each worker that runs, whatever other writers leave in the directory. */
    POLLED {
        @Override
        void see(SoakEvent event, Scan scan) {
            if (event instanceof SoakEvent.NotPolled e) {
                scan.broken(e, e.worker() + " has not been polled at the end");
            }
        }
    };

    /** Looks at one event, before {@link Scan#runs()} knows it. */
    abstract void see(SoakEvent event, Scan scan);

    /** Looks at the whole. */
    void end(Scan scan) {}

    /** What breaks it in a history. */
    List<Violation> check(List<SoakEvent> events) {
        Scan scan = new Scan();
        for (SoakEvent e : events) {
            see(e, scan);
            scan.runs().take(e);
        }
        end(scan);
        return scan.violations();
    }
}
