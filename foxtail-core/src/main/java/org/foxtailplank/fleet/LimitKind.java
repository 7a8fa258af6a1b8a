package org.foxtailplank.fleet;

/** Limits on the number of VMs that a wave may stop now. */
public enum LimitKind {
    /** One more stop and the loss of one more rack would break the budget. */
    BUDGET,
    /** Failures have exhausted the budget; the wave waits until VMs serve again. */
    FAILURES,
    /** The measured demand requires the serving VMs. */
    DEMAND,
    /** The budget would not allow a stop even if every VM served; settings must change. */
    NEVER,
    /** The step width is limited by the VMs that were maintained successfully. */
    RAMP
}
