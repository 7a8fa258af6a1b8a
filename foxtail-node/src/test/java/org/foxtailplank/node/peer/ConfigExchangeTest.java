package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.port.ServiceConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exchange of configurations between an owner and a follower. */
public class ConfigExchangeTest {
    private static final long REQUEST_DELAY_MS = 300;

    private FakeTime mClock;
    private OperatorFollower mOwner;
    private OperatorFollower mFollower;
    private ConfigExchange mOwnerExchange;
    private ConfigExchange mFollowerExchange;
    private EmbeddedChannel mToFollower;
    private EmbeddedChannel mToOwner;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mOwner = newOperator();
        mFollower = newOperator();
        mOwnerExchange = new ConfigExchange(mOwner, mClock, true);
        mFollowerExchange = new ConfigExchange(mFollower, mClock, true);
        mToFollower = new EmbeddedChannel();
        mToOwner = new EmbeddedChannel();
    }

    private OperatorFollower newOperator() {
        return new OperatorFollower(new FakeFeed<>(), mClock, mClock, NodeLog.silent(mClock));
    }

    private ByteBuf takeFrame(EmbeddedChannel from) {
        ByteBuf bytes = from.readOutbound();
        bytes.skipBytes(Integer.BYTES);
        return bytes;
    }

    private static FleetConfig config(long version) {
        QueuePolicy plain = new QueuePolicy(1, 3, 1.6, 600, Optional.empty());
        QueuePolicy advised =
                new QueuePolicy(0, 2, 2.2, 900, Optional.of(new AdviceTiming(5, 6, 7)));
        return new FleetConfig(
                version,
                List.of(
                        new RouteSettings("r1", "h", "/a/", "s", plain, true),
                        new RouteSettings("r2", "h", "/b/", "t", advised, false)),
                List.of(new ServiceConfig("s", true, false), new ServiceConfig("t", false, true)),
                4096,
                organisations());
    }

    private static Organisations organisations() {
        ResourceCap cap = new ResourceCap(new Resources(4000, 1L << 30, 2));
        try {
            return Organisations.of(
                    List.of(
                            new Organisation("a", Set.of("k1", "k2"), 2.5, cap),
                            new Organisation("b", Set.of(), 1, ResourceCap.UNLIMITED)));
        } catch (Organisations.DuplicateException e) {
            throw new AssertionError(e);
        }
    }

    /** Delivers the frames that the exchanges have sent, until there are none. */
    private void deliver() throws IOException {
        boolean delivered = true;
        while (delivered) {
            delivered = deliver(mToFollower, mFollowerExchange, mToOwner);
            delivered |= deliver(mToOwner, mOwnerExchange, mToFollower);
        }
    }

    private static boolean deliver(
            EmbeddedChannel from, ConfigExchange receiver, EmbeddedChannel reply)
            throws IOException {
        ByteBuf bytes = from.readOutbound();
        if (bytes == null) {
            return false;
        }
        bytes.skipBytes(Integer.BYTES);
        assertTrue(receiver.handle(PeerFrame.decode(bytes), reply));
        bytes.release();
        return true;
    }

    private void sendHeartbeat() throws IOException {
        mFollowerExchange.peerHasVersion(mOwnerExchange.version(), mToOwner);
        deliver();
    }

    /**
     * Guards against a node that keeps an old configuration for as long as the store rejects it.
     */
    @Test
    public void aFollowerThatTheStoreRejectsGetsTheConfigurationOfTheOwner() throws IOException {
        mOwner.offer(config(7));
        sendHeartbeat();
        assertEquals(mFollower.version(), -1, "the store may still deliver it");
        mClock.advance(REQUEST_DELAY_MS);
        sendHeartbeat();

        assertEquals(mFollower.config(), Optional.of(config(7)));
    }

    /** Guards against an owner that can't read the operator's topic while its followers can. */
    @Test
    public void anOwnerGetsTheNewerConfigurationOfAFollower() throws IOException {
        mOwner.offer(config(7));
        mFollower.offer(config(9));
        sendHeartbeat();
        mClock.advance(REQUEST_DELAY_MS);
        sendHeartbeat();

        assertEquals(mOwner.config(), Optional.of(config(9)));
    }

    /** Guards against peers of an earlier version that take a frame of the exchange for another. */
    @Test
    public void aPeerThatReportsNoVersionIsSentNoFrame() {
        mFollower.offer(config(9));
        mFollowerExchange.peerHasVersion(-1, mToOwner);

        assertEquals(mToOwner.outboundMessages().size(), 0);
    }

    /** Guards against a node that rejects all keys for as long as the store rejects it. */
    @Test
    public void aFollowerThatTheStoreRejectsGetsTheAgeOfTheOwnersConfirmation() throws IOException {
        mOwner.offer(config(7));
        mFollower.offer(config(7));
        mOwner.confirm(7, mClock.moment());
        mClock.advance(700);
        mFollowerExchange.heartbeatReceived(7, mToOwner);
        deliver();

        assertEquals(mFollower.confirmedAgeMs(), 700);
    }

    /** Guards against a response that lay in a buffer and makes an old configuration look new. */
    @Test
    public void theAgeCountsFromTheRequestHoweverLateTheResponseIs() throws IOException {
        mOwner.offer(config(7));
        mFollower.offer(config(7));
        mOwner.confirm(7, mClock.moment());
        mFollowerExchange.heartbeatReceived(7, mToOwner);
        mClock.advance(2000);
        ByteBuf request = takeFrame(mToOwner);
        mOwnerExchange.handle(PeerFrame.decode(request), mToFollower);
        mClock.advance(3000);
        ByteBuf response = takeFrame(mToFollower);
        mFollowerExchange.handle(PeerFrame.decode(response), mToOwner);

        assertEquals(mFollower.confirmedAgeMs(), 7000);
    }

    /** Guards against a revocation that only the owner knows and that a follower overlooks. */
    @Test
    public void aFollowerWithAnOlderVersionIsNotConfirmed() throws IOException {
        mOwner.offer(config(8));
        mFollower.offer(config(7));
        mOwner.confirm(8, mClock.moment());
        mFollowerExchange.heartbeatReceived(8, mToOwner);
        deliver();

        assertEquals(mFollower.confirmedAgeMs(), Long.MAX_VALUE);
        mClock.advance(REQUEST_DELAY_MS);
        mFollowerExchange.heartbeatReceived(8, mToOwner);
        deliver();
        assertEquals(mFollower.version(), 8);
        mClock.advance(400);
        mFollowerExchange.heartbeatReceived(8, mToOwner);
        deliver();
        assertEquals(mFollower.confirmedAgeMs(), 400 + REQUEST_DELAY_MS);
    }

    @Test
    public void aNodeWithARecentConfirmationAsksNobody() {
        mFollower.offer(config(7));
        mFollower.confirm(7, mClock.moment());
        mClock.advance(1500);
        mFollowerExchange.heartbeatReceived(7, mToOwner);

        assertEquals(mToOwner.outboundMessages().size(), 0);
    }

    @Test
    public void anOlderConfigurationOfAPeerIsIgnored() throws IOException {
        mFollower.offer(config(9));
        mFollowerExchange.handle(
                new PeerFrame.ConfigContent(FleetConfigCodec.encode(config(8))), mToOwner);

        assertEquals(mFollower.version(), 9);
    }

    /** Guards against a large configuration that fills a link, requested with each heartbeat. */
    @Test
    public void theContentIsRequestedOnceInTheRequestDelay() throws IOException {
        mOwner.offer(config(7));
        mFollowerExchange.peerHasVersion(7, mToOwner);
        mClock.advance(REQUEST_DELAY_MS);
        for (int i = 0; i < 3; i++) {
            mFollowerExchange.peerHasVersion(7, mToOwner);
        }

        assertEquals(mToOwner.outboundMessages().size(), 1);
    }
}
