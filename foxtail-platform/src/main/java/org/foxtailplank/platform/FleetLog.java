package org.foxtailplank.platform;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.Verdict;

/** The state that is agreed through the platform's log, followed and written by one process. */
public interface FleetLog {

    /**
     * Appends a record and completes once it has been read back and folded.
     *
     * <p>An answer lost by the platform is resolved by the record's id. The stage fails with a
     * {@link PlatformException} when the record was certainly not appended or nobody can tell yet.
     */
    CompletionStage<Verdict> submit(LogRecord record);

    /** Reads the state on the thread that owns it. */
    <T> CompletionStage<T> read(Function<FleetView, T> reader);

    /** Calls back on the owning thread after each change of the state. */
    void onChange(Runnable listener);
}
