package org.foxtailplank.node.owner;

import java.util.Optional;
import org.foxtailplank.node.peer.OwnerMonitor;
import org.foxtailplank.node.peer.OwnerState;

/** Status of the owner's connection, set by the test. */
final class FakeOwnerMonitor implements OwnerMonitor {
    OwnerState mState = OwnerState.STREAMING;
    Optional<KnownOwner> mOwner = Optional.empty();
    long mStoringMs = Long.MIN_VALUE / 2;
    Runnable mOnOwnerUnavailable = () -> {};
    boolean mVmCallsFinished;
    long mReportedMs = Long.MAX_VALUE;

    @Override
    public void setOwner(Optional<KnownOwner> owner) {
        mOwner = owner;
    }

    @Override
    public OwnerState state(long token) {
        return mState;
    }

    @Override
    public boolean areVmCallsFinished(long token, long sinceMs) {
        return mVmCallsFinished && mReportedMs >= sinceMs && mState == OwnerState.GONE;
    }

    @Override
    public long lastStoredMs() {
        return mStoringMs;
    }

    @Override
    public void onOwnerUnavailable(Runnable listener) {
        mOnOwnerUnavailable = listener;
    }

    @Override
    public void checkSilence() {}
}
