package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.Test;

/**
 * Runs every sequence of a few steps that a caller's record can go through: store answers that
 * succeed, are refused, lost or late, successive owners, and broken connections.
 *
 * <p>The outcome reported to the caller must be true: a record reported as not stored is never in
 * the journal, even after late appends complete, and one reported as stored is there.
 */
public class AcceptExplorationTest {
    /** Steps of a sequence; everything succeeds after them. */
    private static final JobCancelled RECORD = new JobCancelled("aa", 1);

    private static final int DEPTH = 5;

    private static final long PATIENCE_MS = 350;
    private static final long STEP_MS = 130;

    private enum Step {
        STORED(ScriptedOutcome.STORED),
        REFUSED(ScriptedOutcome.REFUSED),
        ANSWER_LOST(ScriptedOutcome.ANSWER_LOST),
        LOST(ScriptedOutcome.LOST),
        LATE(ScriptedOutcome.LATE),
        CONNECTION_TOGGLES(null),
        NEXT_OWNER(null),
        /** The owner has let another node refuse the job, and stores it no more. */
        OWNER_REFUSES(null),
        LATE_APPENDS_COMPLETE(null);

        private final ScriptedOutcome mOutcome;

        Step(ScriptedOutcome outcome) {
            mOutcome = outcome;
        }
    }

    /** A node with a waiting caller, the owner, and the connection between them. */
    private static final class Simulation implements Handover {
        private final FakeTime mTime = new FakeTime();
        private final FakeSharedLog mLog = new FakeSharedLog();
        private final List<StoreOutcome> mOutcomes = new ArrayList<>();
        private final List<Consumer<StoreOutcome>> mPendingHandovers = new ArrayList<>();
        private final JournalWriter mWriter;
        private OwnerJournal mOwnerJournal;
        private long mToken;
        private boolean mConnected = true;
        private boolean mRefusing;

        Simulation(boolean connected) {
            mConnected = connected;
            NodeLog out = NodeLog.silent(mTime);
            mWriter = new JournalWriter(mLog, JournalPartitions.PRIMARY, this, mTime, mTime, out);
            nextOwner();
            mLog.deliverAnswers();
        }

        void begin() {
            long deadline = mTime.nowMs() + PATIENCE_MS;
            mWriter.store(RECORD, deadline, mOutcomes::add);
        }

        void step(Step step) {
            switch (step) {
                case CONNECTION_TOGGLES -> {
                    mConnected = !mConnected;
                    dropPendingHandovers();
                }
                case NEXT_OWNER -> nextOwner();
                case OWNER_REFUSES -> mRefusing = true;
                case LATE_APPENDS_COMPLETE -> mLog.performLateAppends();
                default -> mLog.scriptAppends(step.mOutcome);
            }
            mLog.deliverAnswers();
            mTime.advance(STEP_MS);
        }

        private void nextOwner() {
            mOwnerJournal = new OwnerJournal(FakeOwnerContext.of(mTime, mLog), ++mToken, () -> {});
            mOwnerJournal.raiseEpoch(() -> {});
        }

        private void dropPendingHandovers() {
            List<Consumer<StoreOutcome>> lost = List.copyOf(mPendingHandovers);
            mPendingHandovers.clear();
            lost.forEach(l -> l.accept(StoreOutcome.UNKNOWN));
        }

        void end() {
            for (int i = 0; i < 20; i++) {
                mLog.deliverAnswers();
                mTime.advance(STEP_MS);
                mLog.performLateAppends();
            }
        }

        long storedCount() {
            return JournalPartitions.all(3).stream()
                    .flatMap(p -> mLog.records(p).stream())
                    .filter(Simulation::isRecord)
                    .count();
        }

        private static boolean isRecord(byte[] bytes) {
            try {
                return JournalCodec.decode(bytes).equals(Optional.of(RECORD));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public boolean isAvailable() {
            return mConnected;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            if (mRefusing) {
                callback.accept(StoreOutcome.REFUSED);
                return;
            }
            mPendingHandovers.add(callback);
            mOwnerJournal.storeHandedOver(
                    record,
                    o -> {
                        if (mPendingHandovers.remove(callback)) {
                            callback.accept(o);
                        }
                    });
        }
    }

    @Test
    public void reportedOutcomeMatchesTheJournalInEverySequence() {
        Map<StoreOutcome, Integer> counts = new EnumMap<>(StoreOutcome.class);
        Step[] steps = Step.values();
        int sequences = (int) Math.pow(steps.length, DEPTH);
        for (int n = 0; n < sequences; n++) {
            List<Step> sequence = sequence(steps, n);
            for (boolean connected : List.of(true, false)) {
                StoreOutcome outcome = run(sequence, connected);
                counts.merge(outcome, 1, Integer::sum);
            }
        }
        System.out.println("accept explored: " + 2 * sequences + " sequences, " + counts);

        // Callers' requests never complete as refused by the owner: that is not stored or unknown.
        assertEquals(
                counts.keySet(),
                EnumSet.of(StoreOutcome.STORED, StoreOutcome.NOT_STORED, StoreOutcome.UNKNOWN),
                "every outcome occurs");
    }

    private static List<Step> sequence(Step[] steps, int number) {
        List<Step> sequence = new ArrayList<>(DEPTH);
        int rest = number;
        for (int i = 0; i < DEPTH; i++) {
            sequence.add(steps[rest % steps.length]);
            rest /= steps.length;
        }
        return sequence;
    }

    private static StoreOutcome run(List<Step> sequence, boolean connected) {
        Simulation simulation = new Simulation(connected);
        Optional<Step> first = Optional.of(sequence.get(0)).filter(s -> s.mOutcome != null);
        first.ifPresent(s -> simulation.mLog.scriptAppends(s.mOutcome));
        simulation.mRefusing = sequence.get(0) == Step.OWNER_REFUSES;
        simulation.begin();
        sequence.subList(first.isPresent() ? 1 : 0, DEPTH).forEach(simulation::step);
        simulation.end();

        String description = sequence + (connected ? ", through the owner" : ", directly");
        assertEquals(simulation.mOutcomes.size(), 1, description);
        StoreOutcome outcome = simulation.mOutcomes.get(0);
        if (outcome == StoreOutcome.NOT_STORED) {
            assertEquals(simulation.storedCount(), 0, description);
        } else if (outcome == StoreOutcome.STORED) {
            assertTrue(simulation.storedCount() > 0, description);
        }
        return outcome;
    }
}
