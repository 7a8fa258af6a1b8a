package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.WaveOrder;
import org.testng.annotations.Test;

public class OperatorFollowerTest {
    private static OperatorOrder config(long version) {
        return new OperatorOrder.NewConfig(new FleetConfig(version, List.of(), List.of(), 1000));
    }

    @Test
    public void anUnreadableConfigurationDoesNotReplaceTheLastOne() {
        // Otherwise callers of every queue would get a 404.
        FakeNode clock = new FakeNode();
        FakeFeed<OperatorOrder> orders = new FakeFeed<>();
        OperatorFollower operator =
                new OperatorFollower(orders, clock, clock, NodeLog.silent(clock));
        orders.put("config", config(7));
        operator.refresh(read -> {});
        orders.putForeign("config");
        orders.putForeign("wave/2");
        orders.put("wave/3", new OperatorOrder.NewWave(new WaveOrder(3, List.of("m"), 9000, 1)));
        operator.refresh(read -> {});

        assertEquals(operator.config().get().version(), 7);
        assertEquals(operator.waves().keySet(), Set.of(3L));
        orders.put("config", config(8));
        operator.refresh(read -> {});
        assertEquals(operator.config().get().version(), 8);
    }
}
