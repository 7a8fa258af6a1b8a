package org.foxtailplank.fleet;

/** What keeps a wave from stopping more VMs now. */
public enum LimitKind {
    /** One more stop and the loss of one more rack would break the budget. */
    BUDGET,
    /** The budget is used up by failures; the wave waits until VMs serve again. */
    FAILURES,
    /** The measured demand needs the VMs that serve. */
    DEMAND,
    /** Not even with every VM serving could one be stopped; settings must change. */
    NEVER,
    /** The wave widens only as its VMs come back well. */
    RAMP
}
