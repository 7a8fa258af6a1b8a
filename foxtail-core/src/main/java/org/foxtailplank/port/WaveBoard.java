package org.foxtailplank.port;

import java.util.function.Consumer;
import org.foxtailplank.port.SharedLog.AppendResult;

/** Where operators read how a wave is going. */
public interface WaveBoard {

    /** Says that a wave is running or completed. */
    void write(long wave, boolean completed, Consumer<AppendResult> then);
}
