package org.foxtailplank.fleet;

import java.util.List;

/**
 * Why something is where it is.
 *
 * @param subject what is explained, for example {@code vm v1}
 * @param reasons the reasons, the weightiest first
 */
public record Explanation(String subject, List<Reason> reasons) {

    public Explanation {
        reasons = List.copyOf(reasons);
    }

    /**
     * One reason.
     *
     * @param kind kind of the reason, for programs
     * @param text the reason in words
     * @param waitsFor what the next decision waits for; empty for nothing
     */
    public record Reason(ReasonKind kind, String text, String waitsFor) {}
}
