package org.foxtailplank.internal.state;

import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.VoidReason;

/** Creates verdicts of void records with their messages. */
public final class Verdicts {
    private Verdicts() {}

    public static Verdict unknown(ObjectKey key) {
        return Verdict.refused(VoidReason.UNKNOWN_OBJECT, text(key) + " does not exist");
    }

    public static Verdict exists(ObjectKey key) {
        return Verdict.refused(VoidReason.STALE_VERSION, text(key) + " exists already");
    }

    public static Verdict wrongPhase(String detail) {
        return Verdict.refused(VoidReason.WRONG_PHASE, detail);
    }

    public static Verdict wrongPhase(VmState vm, String request) {
        String pending = vm.pending().map(a -> " with " + a + " pending").orElse("");
        return wrongPhase(request + ": VM " + vm.id() + " is " + vm.phase() + pending);
    }

    public static Verdict malformed(String detail) {
        return Verdict.refused(VoidReason.MALFORMED, detail);
    }

    public static String text(ObjectKey key) {
        return key.kind() + " " + key.name();
    }
}
