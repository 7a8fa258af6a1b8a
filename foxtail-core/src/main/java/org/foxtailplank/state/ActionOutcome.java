package org.foxtailplank.state;

/** How an action on a VM ended. */
public enum ActionOutcome {
    /** It took effect. */
    DONE,
    /** It failed; the VM is not serving. */
    FAILED,
    /** It was never asked for and never will be. */
    WITHDRAWN
}
