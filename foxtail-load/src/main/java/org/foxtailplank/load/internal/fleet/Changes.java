package org.foxtailplank.load.internal.fleet;

import java.util.Optional;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionIntended;

/** Words decisions as changes of the log. */
final class Changes {

    static final ChangeAuthor AUTHOR = new ChangeAuthor("driver", "measurement");

    private Changes() {}

    static VmActionIntended intend(
            FleetView view, VmId vm, VmAction action, Optional<WaveId> wave) {
        long generation = view.vm(vm).orElseThrow().generation() + 1;
        return new VmActionIntended(vm, action, generation, wave, AUTHOR);
    }
}
