package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.PoolService;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmActions;
import org.foxtailplank.port.WaveBoard;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests owners that were replaced without noticing, with a VM service that does not check tokens.
 *
 * <p>A former owner that still reaches the VM service must not go on rebooting VMs of a wave,
 * because its successor relies on them.
 */
public class FormerOwnerTest {
    private static final String VM = "vm1";

    private FakeNode mTime;
    private FakeLog mLog;
    private List<Long> mCallers;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mCallers = new ArrayList<>();
    }

    /** Ignores tokens and reports that nothing was done, so that each owner repeats its calls. */
    private final class Vms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            VmInfo vm = new VmInfo(VM, "off", VmPhase.UP, "", Resources.of(8, 1 << 20, 0));
            then.accept(Optional.of(List.of(vm)));
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("no pool needs another VM");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            if (holder.permit().leftMs() > 0) {
                mCallers.add(holder.token());
            }
            then.accept(VmOutcome.NOT_DONE);
        }
    }

    private OwnerWork startOwner(SharedLog log, TakeOver takeover, boolean tokensChecked) {
        PoolService off = new PoolService("off", true, true);
        OperatorOrder config =
                new OperatorOrder.NewConfig(new FleetConfig(1, List.of(), List.of(off), 1000));
        OperatorOrder wave = new OperatorOrder.NewWave(new WaveOrder(1, List.of(VM), 30_000, 1));
        Feed<OperatorOrder> orders =
                new FixedFeed<>(
                        List.of(
                                new Feed.Item<>("config", Optional.of(config)),
                                new Feed.Item<>("wave/1", Optional.of(wave))));
        OperatorFollower operator =
                new OperatorFollower(orders, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh(read -> {});
        WaveBoard board = (number, completed, then) -> then.accept(new SharedLog.Stored(0, 1));
        OwnerParts.Platform platform =
                new OwnerParts.Platform(
                        new FixedFeed<WorkerInfo>(List.of()), null, new Vms(), null, board);
        OwnerParts parts = FakeOwnerParts.of(mTime, log, tokensChecked, operator, platform);
        OwnerWork work = new OwnerWork(parts, takeover, () -> {});
        work.start();
        return work;
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    @Test
    public void disconnectedOwnerStopsCallingBeforeItsSuccessorStarts() {
        DisconnectableLog first = new DisconnectableLog(mLog);
        startOwner(first, new TakeOver(1, true, true), false);
        pass(1000);
        int callsBefore = mCallers.size();
        first.disconnect();
        startOwner(new DisconnectableLog(mLog), new TakeOver(2, false, false), false);
        pass(4000);

        assertTrue(callsBefore > 0, "the first owner has called");
        assertTrue(mCallers.contains(2L), "the second owner has called");
        List<Long> sorted = mCallers.stream().sorted().toList();
        assertEquals(mCallers, sorted, "no owner calls after its successor");
    }

    @Test
    public void connectedOwnerKeepsCalling() {
        startOwner(new DisconnectableLog(mLog), new TakeOver(1, true, true), false);
        pass(1000);
        int callsBefore = mCallers.size();
        pass(4000);

        assertTrue(mCallers.size() > callsBefore + 30, "one call every 100 ms");
    }

    @Test
    public void successorOfOwnerThatLeftDoesNotWait() {
        OwnerWork first =
                startOwner(new DisconnectableLog(mLog), new TakeOver(1, true, true), false);
        pass(1000);
        first.leave(() -> {});
        pass(100);
        startOwner(new DisconnectableLog(mLog), new TakeOver(2, true, true), false);
        pass(300);

        assertTrue(mCallers.contains(2L));
    }

    @Test
    public void successorDoesNotWaitIfTheVmServiceChecksTokens() {
        DisconnectableLog first = new DisconnectableLog(mLog);
        startOwner(first, new TakeOver(1, true, true), true);
        pass(1000);
        first.disconnect();
        startOwner(new DisconnectableLog(mLog), new TakeOver(2, false, false), true);
        pass(300);

        assertTrue(mCallers.contains(2L));
        assertFalse(
                mCallers.equals(mCallers.stream().sorted().toList()),
                "calls are only ordered by the lease");
    }
}
