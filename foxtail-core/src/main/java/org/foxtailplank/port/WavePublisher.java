package org.foxtailplank.port;

import java.util.function.Consumer;
import org.foxtailplank.port.SharedLog.AppendResult;

/** Publishes the progress of maintenance waves to operators. */
public interface WavePublisher {

    /** Publishes that a wave is running or completed. */
    void write(long wave, boolean completed, Consumer<AppendResult> callback);
}
