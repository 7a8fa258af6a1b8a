package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how long ago a node's configuration is known to have been the newest. */
public class ConfigConfirmationTest {
    private FakeTime mClock;
    private HeldFeed<OperatorChange> mFeed;
    private OperatorFollower mOperator;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mFeed = new HeldFeed<>();
        mOperator = new OperatorFollower(mFeed, mClock, mClock, NodeLog.silent(mClock));
    }

    private static OperatorChange config(long version) {
        return new OperatorChange.NewConfig(new FleetConfig(version, List.of(), List.of(), 1000));
    }

    /** Guards against a long poll whose late answer makes an old configuration look new. */
    @Test
    public void aConfirmationCountsFromTheSendingOfItsRead() {
        mOperator.follow();
        mFeed.answer("config", config(7));
        mClock.advance(3000);
        assertEquals(mOperator.confirmedAgeMs(), 3000, "while a long poll hangs");
        mFeed.answerEmpty();

        assertEquals(mOperator.confirmedAgeMs(), 3000);
        mFeed.answerEmpty();
        assertEquals(mOperator.confirmedAgeMs(), 0);
    }

    /** Guards against a page of a long feed that hides a later revocation. */
    @Test
    public void aPageThatOthersFollowConfirmsNothing() {
        mOperator.follow();
        mFeed.answer("config", config(7));
        mClock.advance(1000);
        mFeed.answerEmpty();
        mClock.advance(1000);
        mFeed.answerPartly();

        assertEquals(mOperator.confirmedAgeMs(), 2000);
    }

    /** Guards against keys that a suspended VM accepts long after their revocation. */
    @Test
    public void aSuspensionCountsAsAge() {
        mOperator.follow();
        mFeed.answer("config", config(7));
        mClock.stepWallClock(6000);

        assertEquals(mOperator.confirmedAgeMs(), 6000);
    }

    /** Guards against a peer with an older configuration that confirms this node's keys. */
    @Test
    public void theConfirmationOfAPeerCountsOnlyForAVersionThatThisNodeHas() {
        mOperator.follow();
        mFeed.answer("config", config(7));
        mClock.advance(3000);
        mOperator.confirm(8, mClock.moment());
        assertEquals(mOperator.confirmedAgeMs(), 3000);
        mOperator.confirm(7, mClock.moment().minusMs(1200));

        assertEquals(mOperator.confirmedAgeMs(), 1200);
    }
}
