package org.foxtailplank.fleet;

import java.util.List;

/**
 * The reasons for the state of an object.
 *
 * @param subject explained object, for example {@code vm v1}
 * @param reasons the reasons, most important first
 */
public record Explanation(String subject, List<Reason> reasons) {

    public Explanation {
        reasons = List.copyOf(reasons);
    }

    /**
     * One reason.
     *
     * @param kind machine-readable kind
     * @param text human-readable reason
     * @param waitsFor condition that the next decision waits for; may be empty
     */
    public record Reason(ReasonKind kind, String text, String waitsFor) {}
}
