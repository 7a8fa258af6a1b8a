package org.foxtailplank.node.admission;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.StoreOutcome;

/** An owner's handover that doesn't store jobs that another node has just refused. */
public final class GuardedHandover implements Handover {
    private final Handover mTarget;
    private final Predicate<String> mTryStore;
    private final BooleanSupplier mEnabled;

    /**
     * Creates the handover.
     *
     * @param tryStore registers a job that is to be stored; false if it has just been refused
     * @param enabled whether admission is on for any queue; records aren't decoded otherwise
     */
    public GuardedHandover(Handover target, Predicate<String> tryStore, BooleanSupplier enabled) {
        mTarget = target;
        mTryStore = tryStore;
        mEnabled = enabled;
    }

    @Override
    public boolean isAvailable() {
        return mTarget.isAvailable();
    }

    @Override
    public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
        if (mEnabled.getAsBoolean() && isRefused(record)) {
            callback.accept(StoreOutcome.REFUSED);
        } else {
            mTarget.handOver(record, callback);
        }
    }

    private boolean isRefused(byte[] record) {
        try {
            Optional<JournalRecord> decoded = JournalCodec.decode(record);
            return decoded.isPresent()
                    && decoded.get() instanceof JobAccepted accepted
                    && !mTryStore.test(accepted.definition().id());
        } catch (IOException e) {
            return false;
        }
    }
}
