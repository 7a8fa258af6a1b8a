package org.foxtailplank.state;

/** How an action on a VM ended. */
public enum ActionOutcome {
    /** The action took effect. */
    DONE,
    /** The action failed; the VM is not serving. */
    FAILED,
    /** The action was never executed and never will be. */
    WITHDRAWN
}
