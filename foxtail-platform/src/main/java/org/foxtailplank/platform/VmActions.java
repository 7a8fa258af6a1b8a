package org.foxtailplank.platform;

import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.VmId;

/** Asks the platform to act on VMs. */
public interface VmActions {

    /** Asks for an action; asking again with the same id has no further effect. */
    CompletionStage<ActionReply> act(VmId vm, ActionRequest request);
}
