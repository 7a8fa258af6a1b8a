package org.foxtailplank.controller.internal.act;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.Verdict;

/** An in-memory log; each follower folds it separately. */
final class FakeFleetLog {
    private final List<LogRecord> mRecords = new ArrayList<>();
    private boolean mUnavailable;
    private int mResponsesToLose;

    /** While unavailable, appends fail without effect. */
    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    void loseResponses(int times) {
        mResponsesToLose = times;
    }

    List<LogRecord> records() {
        return mRecords;
    }

    Follower follow(Interruption interruption) {
        return new Follower(interruption);
    }

    /** A view of the log for one process. */
    final class Follower implements FleetLog {
        private final FleetState mState = new FleetState();
        private final List<Verdict> mVerdicts = new ArrayList<>();
        private final Interruption mInterruption;

        private Follower(Interruption interruption) {
            mInterruption = interruption;
        }

        @Override
        public CompletionStage<Verdict> submit(LogRecord record) {
            mInterruption.beforeCall();
            if (mUnavailable) {
                return CompletableFuture.failedFuture(
                        new PlatformException("the platform is unavailable", Effect.NONE));
            }
            mRecords.add(record.withBasis(mState.basis()));
            int at = mRecords.size() - 1;
            mInterruption.afterCall();
            if (mResponsesToLose > 0) {
                mResponsesToLose--;
                return CompletableFuture.failedFuture(
                        new PlatformException("the response was lost", Effect.UNKNOWN));
            }
            catchUp();
            return CompletableFuture.completedFuture(mVerdicts.get(at));
        }

        @Override
        public <T> CompletionStage<T> read(Function<FleetView, T> reader) {
            catchUp();
            return CompletableFuture.completedFuture(reader.apply(mState));
        }

        @Override
        public void onChange(Runnable listener) {
            throw new UnsupportedOperationException("tests run the loops explicitly");
        }

        FleetView view() {
            catchUp();
            return mState;
        }

        List<Verdict> verdicts() {
            catchUp();
            return mVerdicts;
        }

        private void catchUp() {
            while (mVerdicts.size() < mRecords.size()) {
                int next = mVerdicts.size();
                mVerdicts.add(mState.apply(next + 1L, mRecords.get(next)));
            }
        }
    }
}
