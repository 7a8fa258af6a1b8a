package org.foxtailplank.node.admission;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.foxtailplank.admission.RefusalRegister;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.schedule.UnstoredJob;

/** An owner's handover that doesn't store jobs that another node has just refused. */
public final class GuardedHandover implements Handover {
    private final Handover mTarget;
    private final Supplier<Optional<RefusalRegister>> mRegister;
    private final Clock mClock;
    private final BooleanSupplier mEnabled;

    /**
     * Creates the handover.
     *
     * @param register returns the register of the current ownership
     * @param enabled whether admission is on for any queue; records aren't decoded otherwise
     */
    public GuardedHandover(
            Handover target,
            Supplier<Optional<RefusalRegister>> register,
            Clock clock,
            BooleanSupplier enabled) {
        mTarget = target;
        mRegister = register;
        mClock = clock;
        mEnabled = enabled;
    }

    @Override
    public boolean isAvailable() {
        return mTarget.isAvailable();
    }

    @Override
    public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
        Optional<RefusalRegister> register = mRegister.get();
        Optional<String> job =
                register.isPresent() && mEnabled.getAsBoolean()
                        ? acceptedJob(record)
                        : Optional.empty();
        if (job.isEmpty()) {
            mTarget.handOver(record, callback);
        } else if (register.get().tryStore(job.get(), mClock.nowMs())) {
            mTarget.handOver(
                    record,
                    outcome -> {
                        recordOutcome(register.get(), job.get(), outcome);
                        callback.accept(outcome);
                    });
        } else {
            callback.accept(StoreOutcome.REFUSED);
        }
    }

    @Override
    public void reportUnstored(UnstoredJob job) {
        mTarget.reportUnstored(job);
    }

    private void recordOutcome(RefusalRegister register, String job, StoreOutcome outcome) {
        if (outcome == StoreOutcome.UNKNOWN) {
            register.outcomeUnknown(job, mClock.nowMs());
        } else {
            register.outcomeKnown(job, mClock.nowMs());
        }
    }

    /** ID of the job that a record accepts; empty for other records. */
    private static Optional<String> acceptedJob(byte[] record) {
        try {
            return JournalCodec.decode(record)
                    .filter(r -> r instanceof JobAccepted)
                    .map(r -> ((JobAccepted) r).definition().id());
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
