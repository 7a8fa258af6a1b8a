package org.foxtailplank.load.internal.run;

import java.util.concurrent.CompletionStage;
import org.foxtailplank.load.internal.profile.PlannedRequest;

/** Sends one request and tells how it ended. */
public interface Sender {

    /** Sends it now; the stage never fails, since an error is an ending too. */
    CompletionStage<Ending> send(PlannedRequest request);
}
