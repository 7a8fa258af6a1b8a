package org.foxtailplank.schedule;

/** Phase of a run, as known to the owner. */
public enum RunPhase {
    /** The start is being recorded in the journal; no command has been sent. */
    PLANNED,
    /** The start is recorded and its command is being sent. */
    STARTING,
    /** The worker has confirmed the run, or a previous owner may have started it. */
    RUNNING,
    /** The run is to stop; it holds its capacity until it has ended. */
    STOPPING
}
