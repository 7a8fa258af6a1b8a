package org.foxtailplank.node.owner;

import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.Clock;
import org.foxtailplank.port.VmActions.CallPermit;

/** The lease under which an owner calls the VM service, kept up to date. */
final class OwnerLease implements CallPermit {
    private final Clock mClock;
    private CallLease mLease;
    private long mTookOverMs;

    /**
     * The lease of an owner that has just taken its place.
     *
     * @param checked whether the VM service refuses lower tokens itself
     */
    OwnerLease(Clock clock, boolean checked) {
        mClock = clock;
        mLease = CallLease.of(checked);
    }

    /** An append of this owner's is stored that was first sent then. */
    void proved(Moment sent) {
        mLease = mLease.proved(sent);
    }

    /** Earlier owners can store nothing more. */
    void tookOver(boolean predecessorOver) {
        mTookOverMs = mClock.nowMs();
        mLease = mLease.tookOver(mTookOverMs, predecessorOver);
    }

    /** How long ago it took over, in milliseconds. */
    long ownedMs() {
        return mClock.nowMs() - mTookOverMs;
    }

    /** Whether no earlier owner's call can be under way any more. */
    boolean isOpen() {
        return mLease.isOpen(mClock.nowMs());
    }

    @Override
    public long leftMs() {
        return mLease.leftMs(mClock.moment());
    }
}
