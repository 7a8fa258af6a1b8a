package org.foxtailplank.standin.internal.vm;

import java.util.Locale;

/** What the platform does with a VM. */
enum VmStep {
    WAKE(false),
    SLEEP(true),
    REBOOT(true),
    REASSIGN(true),
    DRAIN(true);

    private final boolean mDrains;

    VmStep(boolean drains) {
        mDrains = drains;
    }

    /** Whether a VM that is on is drained first. */
    boolean drains() {
        return mDrains;
    }

    static VmStep parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }
}
