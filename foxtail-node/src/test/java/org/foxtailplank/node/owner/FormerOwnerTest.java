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
 * An owner that was replaced without knowing, and a VM service that obeys whoever calls.
 *
 * <p>A zone is cut off with the owner in it. Another node takes its place and reboots VMs of a
 * wave. The former owner still reaches the VM service, or reaches it again before the store, and
 * goes on with the same wave: VMs go down that the new owner counts on.
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

    /** Obeys nobody's token; says that it did nothing, so that each owner calls again. */
    private final class Vms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            VmInfo vm = new VmInfo(VM, "off", VmPhase.UP, "", Resources.of(8, 1 << 20, 0));
            then.accept(Optional.of(List.of(vm)));
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("no pool lacks a VM");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            if (holder.permit().leftMs() > 0) {
                mCallers.add(holder.token());
            }
            then.accept(VmOutcome.NOT_DONE);
        }
    }

    private OwnerWork owner(SharedLog path, TakeOver taken, boolean checked) {
        PoolService off = new PoolService("off", true, true);
        OperatorOrder config =
                new OperatorOrder.NewConfig(new FleetConfig(1, List.of(), List.of(off), 1000));
        OperatorOrder wave = new OperatorOrder.NewWave(new WaveOrder(1, List.of(VM), 30_000, 1));
        Feed<OperatorOrder> orders =
                new StillFeed<>(
                        List.of(
                                new Feed.Item<>("config", Optional.of(config)),
                                new Feed.Item<>("wave/1", Optional.of(wave))));
        OperatorFollower operator =
                new OperatorFollower(orders, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh(read -> {});
        WaveBoard board = (number, completed, then) -> then.accept(new SharedLog.Stored(0, 1));
        OwnerParts.Platform platform =
                new OwnerParts.Platform(
                        new StillFeed<WorkerInfo>(List.of()), null, new Vms(), null, board);
        OwnerParts parts = FakeOwnerParts.of(mTime, path, checked, operator, platform);
        OwnerWork work = new OwnerWork(parts, taken, () -> {});
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
    public void anOwnerThatIsCutOffStopsCallingBeforeItsSuccessorBegins() {
        LogPath first = new LogPath(mLog);
        owner(first, new TakeOver(1, true, true), false);
        pass(1000);
        int before = mCallers.size();
        first.cut();
        owner(new LogPath(mLog), new TakeOver(2, false, false), false);
        pass(4000);

        assertTrue(before > 0, "the first owner has called");
        assertTrue(mCallers.contains(2L), "the second owner has called");
        List<Long> sorted = mCallers.stream().sorted().toList();
        assertEquals(mCallers, sorted, "nobody calls after its successor");
    }

    @Test
    public void anOwnerThatReachesTheStoreGoesOnCalling() {
        owner(new LogPath(mLog), new TakeOver(1, true, true), false);
        pass(1000);
        int before = mCallers.size();
        pass(4000);

        assertTrue(mCallers.size() > before + 30, "a call each 100 ms");
    }

    @Test
    public void theSuccessorOfAnOwnerThatHasLeftDoesNotWait() {
        OwnerWork first = owner(new LogPath(mLog), new TakeOver(1, true, true), false);
        pass(1000);
        first.leave(() -> {});
        pass(100);
        owner(new LogPath(mLog), new TakeOver(2, true, true), false);
        pass(300);

        assertTrue(mCallers.contains(2L));
    }

    @Test
    public void whereTheServiceChecksTokensNobodyWaits() {
        LogPath first = new LogPath(mLog);
        owner(first, new TakeOver(1, true, true), true);
        pass(1000);
        first.cut();
        owner(new LogPath(mLog), new TakeOver(2, false, false), true);
        pass(300);

        assertTrue(mCallers.contains(2L));
        assertFalse(mCallers.equals(mCallers.stream().sorted().toList()), "only the lease orders");
    }
}
