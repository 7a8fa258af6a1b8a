package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.OperatorChange;
import org.testng.annotations.Test;

public class OperatorFollowerTest {
    private static OperatorChange config(long version) {
        return new OperatorChange.NewConfig(new FleetConfig(version, List.of(), List.of(), 1000));
    }

    @Test
    public void anUnreadableConfigurationDoesNotReplaceTheLastOne() {
        // Otherwise callers of every queue would get a 404.
        FakeTime clock = new FakeTime();
        FakeFeed<OperatorChange> operatorChanges = new FakeFeed<>();
        OperatorFollower operator =
                new OperatorFollower(operatorChanges, clock, clock, NodeLog.silent(clock));
        operatorChanges.put("config", config(7));
        operator.refresh();
        operatorChanges.putUnreadable("config");
        operatorChanges.putUnreadable("wave/2");
        operatorChanges.put(
                "wave/3",
                new OperatorChange.NewWave(new MaintenanceWave(3, List.of("m"), 9000, 1)));
        operator.refresh();

        assertEquals(operator.config().get().version(), 7);
        assertEquals(operator.waves().keySet(), Set.of(3L));
        operatorChanges.put("config", config(8));
        operator.refresh();
        assertEquals(operator.config().get().version(), 8);
    }
}
