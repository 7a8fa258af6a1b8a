package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.WaveOrder;
import org.testng.annotations.Test;

/** What a node takes from the operator's orders. */
public class OperatorFollowerTest {
    private static OperatorOrder config(long version) {
        return new OperatorOrder.NewConfig(new FleetConfig(version, List.of(), List.of(), 1000));
    }

    @Test
    public void anUnreadableConfigurationDoesNotReplaceTheLastOne() {
        // Callers of every queue are told that there is none: the newest configuration is another
        // writer's, and the one before it would be taken to hold no more.
        FakeNode time = new FakeNode();
        FakeFeed<OperatorOrder> orders = new FakeFeed<>();
        OperatorFollower operator = new OperatorFollower(orders, time, time, NodeLog.silent(time));
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
