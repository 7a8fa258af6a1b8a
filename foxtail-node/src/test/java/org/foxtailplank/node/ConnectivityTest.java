package org.foxtailplank.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConnectivityTest {
    private final FakeTime mClock = new FakeTime();
    private long mStoreMs = mClock.nowMs();
    private long mOwnerMs = mClock.nowMs();
    private final Connectivity mConnectivity =
            new Connectivity(mClock, () -> mStoreMs, () -> mOwnerMs);

    /** Guards against callers that a node keeps for seconds although it can't serve them. */
    @Test
    public void aNodeThatHearsOfNobodyIsCutOff() {
        mClock.advance(Connectivity.MAX_SILENCE_MS);
        assertFalse(mConnectivity.isCutOff());
        mClock.advance(1);
        assertTrue(mConnectivity.isCutOff());

        mStoreMs = mClock.nowMs();
        assertFalse(mConnectivity.isCutOff(), "the store answers while there is no owner");
        mClock.advance(1000);
        mOwnerMs = mClock.nowMs();
        mClock.advance(1000);
        assertFalse(mConnectivity.isCutOff(), "the owner's frames arrive while the store is down");
    }
}
