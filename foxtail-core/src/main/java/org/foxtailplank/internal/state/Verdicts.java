package org.foxtailplank.internal.state;

import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.VoidReason;

/** The wording of verdicts that leave a record void. */
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

    public static Verdict wrongPhase(VmState vm, String asked) {
        String pending = vm.pending().map(a -> " with " + a + " pending").orElse("");
        return wrongPhase(asked + ": VM " + vm.id() + " is " + vm.phase() + pending);
    }

    public static Verdict malformed(String detail) {
        return Verdict.refused(VoidReason.MALFORMED, detail);
    }

    public static String text(ObjectKey key) {
        return key.kind() + " " + key.name();
    }
}
