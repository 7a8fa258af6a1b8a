package org.foxtailplank.platform;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/** The platform's knowledge of its VMs. */
public interface VmDirectory {

    /** The live and leaving VMs, of one availability zone if given; some seconds old. */
    CompletionStage<VmList> list(Optional<ZoneId> zone);

    /** One VM as it is now; empty when the platform doesn't know it. */
    CompletionStage<Optional<VmReport>> find(VmId vm);
}
