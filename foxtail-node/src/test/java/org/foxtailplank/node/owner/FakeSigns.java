package org.foxtailplank.node.owner;

import java.util.Optional;
import org.foxtailplank.node.peer.OwnerSigns;
import org.foxtailplank.node.peer.OwnerState;

/** Status of the owner's connection, set by the test. */
final class FakeSigns implements OwnerSigns {
    OwnerState mState = OwnerState.STREAMING;
    Optional<KnownOwner> mOwner = Optional.empty();
    long mStoringMs = Long.MIN_VALUE / 2;
    Runnable mWhenDoubtful = () -> {};
    boolean mCallsOver;

    @Override
    public void owner(Optional<KnownOwner> owner) {
        mOwner = owner;
    }

    @Override
    public OwnerState state(long token) {
        return mState;
    }

    @Override
    public boolean areCallsOver(long token) {
        return mCallsOver && mState == OwnerState.GONE;
    }

    @Override
    public long storingMs() {
        return mStoringMs;
    }

    @Override
    public void whenDoubtful(Runnable listener) {
        mWhenDoubtful = listener;
    }

    @Override
    public void check() {}
}
