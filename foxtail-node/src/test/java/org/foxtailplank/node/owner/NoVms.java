package org.foxtailplank.node.owner;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.VmClient;

/** A VM service without VMs. */
final class NoVms implements VmClient {
    @Override
    public void list(Consumer<Optional<List<VmInfo>>> callback) {
        callback.accept(Optional.of(List.of()));
    }

    @Override
    public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
        callback.accept(VmOutcome.NOT_DONE);
    }

    @Override
    public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
        callback.accept(VmOutcome.NOT_DONE);
    }
}
