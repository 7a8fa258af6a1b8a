package org.foxtailplank.schedule;

/** Where a run stands, as far as the owner knows. */
public enum RunPhase {
    /** Its start is being written to the journal; nothing has been sent. */
    PLANNED,
    /** The start is on its way. */
    STARTING,
    /** The worker has it. */
    RUNNING,
    /** It has been told to stop; its room is not free yet. */
    STOPPING
}
