package org.foxtailplank.node.caller;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;

/** A configuration with one queue, {@code /q/}, which requires no key. */
final class OneQueue implements ChangeFeed<OperatorChange> {
    @Override
    public void latest(Consumer<Result<OperatorChange>> callback) {
        changes(0, 0, callback);
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<OperatorChange>> callback) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        RouteSettings route = new RouteSettings("q", "h", "/q/", "s", policy, false);
        FleetConfig config = new FleetConfig(1, List.of(route), List.of(), 1000);
        OperatorChange change = new OperatorChange.NewConfig(config);
        callback.accept(new Page<>(List.of(new Item<>("config", Optional.of(change))), 1, true));
    }
}
