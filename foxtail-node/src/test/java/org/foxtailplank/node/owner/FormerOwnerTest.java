package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
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
    /** A wave without time to spare, so that each owner calls as soon as it may. */
    private static final long WAVE_MS = 5000;

    private static final String VM = "vm1";

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private List<Long> mCallers;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mCallers = new ArrayList<>();
    }

    /** Ignores tokens and reports that nothing was done, so that each owner repeats its calls. */
    private final class Vms implements VmClient {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            VmInfo vm = new VmInfo(VM, "off", VmPhase.UP, "", Resources.of(8, 1 << 20, 0));
            callback.accept(Optional.of(List.of(vm)));
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            throw new AssertionError("no pool needs another VM");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            if (holder.permit().leftMs() > 0) {
                mCallers.add(holder.token());
            }
            callback.accept(VmOutcome.NOT_DONE);
        }
    }

    private OwnerSession startOwner(SharedLog log, Takeover takeover, boolean tokensChecked) {
        ServiceConfig off = new ServiceConfig("off", true, true);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), List.of(off), 1000));
        OperatorChange wave =
                new OperatorChange.NewWave(new MaintenanceWave(1, List.of(VM), WAVE_MS, 1));
        ChangeFeed<OperatorChange> operatorChanges =
                new FixedFeed<>(
                        List.of(
                                new ChangeFeed.Item<>("config", Optional.of(config)),
                                new ChangeFeed.Item<>("wave/1", Optional.of(wave))));
        OperatorFollower operator =
                new OperatorFollower(operatorChanges, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh();
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerContext.Platform platform =
                new OwnerContext.Platform(
                        new FixedFeed<WorkerInfo>(List.of()), null, new Vms(), null, wavePublisher);
        OwnerContext context = FakeOwnerContext.of(mTime, log, tokensChecked, operator, platform);
        OwnerSession session = new OwnerSession(context, takeover, () -> {});
        session.start();
        return session;
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.advance(10);
            mLog.deliverAnswers();
        }
    }

    @Test
    public void disconnectedOwnerStopsCallingBeforeItsSuccessorStarts() {
        DisconnectableLog first = new DisconnectableLog(mLog);
        startOwner(first, new Takeover(1, true, true), false);
        pass(1000);
        int callsBefore = mCallers.size();
        first.disconnect();
        startOwner(new DisconnectableLog(mLog), new Takeover(2, false, false), false);
        pass(4000);

        assertTrue(callsBefore > 0, "the first owner has called");
        assertTrue(mCallers.contains(2L), "the second owner has called");
        List<Long> sorted = mCallers.stream().sorted().toList();
        assertEquals(mCallers, sorted, "no owner calls after its successor");
    }

    @Test
    public void connectedOwnerKeepsCalling() {
        startOwner(new DisconnectableLog(mLog), new Takeover(1, true, true), false);
        pass(1000);
        int callsBefore = mCallers.size();
        pass(4000);

        assertTrue(mCallers.size() > callsBefore + 30, "one call every 100 ms");
    }

    @Test
    public void successorOfOwnerThatResignedDoesNotWait() {
        OwnerSession first =
                startOwner(new DisconnectableLog(mLog), new Takeover(1, true, true), false);
        pass(1000);
        first.resign(() -> {});
        pass(100);
        startOwner(new DisconnectableLog(mLog), new Takeover(2, true, true), false);
        pass(300);

        assertTrue(mCallers.contains(2L));
    }

    @Test
    public void successorDoesNotWaitIfTheVmServiceChecksTokens() {
        DisconnectableLog first = new DisconnectableLog(mLog);
        startOwner(first, new Takeover(1, true, true), true);
        pass(1000);
        first.disconnect();
        startOwner(new DisconnectableLog(mLog), new Takeover(2, false, false), true);
        pass(300);

        assertTrue(mCallers.contains(2L));
        assertFalse(
                mCallers.equals(mCallers.stream().sorted().toList()),
                "calls are only ordered by the lease");
    }
}
