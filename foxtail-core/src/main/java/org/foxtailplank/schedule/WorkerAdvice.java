package org.foxtailplank.schedule;

/**
 * What the placement advice service has said about one step on one worker.
 *
 * @param verdict its answer
 * @param ticket ticket that a start must carry; empty unless allowed
 * @param untilMs when the ticket expires, in milliseconds of the owner's clock
 */
record WorkerAdvice(Verdict verdict, String ticket, long untilMs) {
    static final WorkerAdvice NOT_ASKED = new WorkerAdvice(Verdict.NOT_ASKED, "", 0);
    static final WorkerAdvice DENIED = new WorkerAdvice(Verdict.DENIED, "", 0);

    /** The service's answers; they differ in what a step may do next. */
    enum Verdict {
        /** The service hasn't answered about the worker, or the worker has rejected its ticket. */
        NOT_ASKED {
            @Override
            boolean mayAsk(boolean expired) {
                return true;
            }
        },

        /** The worker may run the step; an expired ticket is renewed by another request. */
        ALLOWED {
            @Override
            boolean mayAsk(boolean expired) {
                return expired;
            }
        },

        /** The worker may not run the step. This holds until its incarnation ends. */
        DENIED {
            @Override
            boolean mayAsk(boolean expired) {
                return false;
            }
        };

        /** Whether a request about the worker may get a ticket that the step lacks. */
        abstract boolean mayAsk(boolean expired);
    }

    static WorkerAdvice allowed(String ticket, long untilMs) {
        return new WorkerAdvice(Verdict.ALLOWED, ticket, untilMs);
    }

    /** Whether the worker may run the step, with this ticket or another one. */
    boolean isAllowed() {
        return verdict == Verdict.ALLOWED;
    }

    boolean isDenied() {
        return verdict == Verdict.DENIED;
    }

    boolean hasValidTicket(long nowMs) {
        return isAllowed() && untilMs > nowMs;
    }

    /** Whether a request about the worker may get a ticket that the step lacks. */
    boolean mayAsk(long nowMs) {
        return verdict.mayAsk(untilMs <= nowMs);
    }
}
