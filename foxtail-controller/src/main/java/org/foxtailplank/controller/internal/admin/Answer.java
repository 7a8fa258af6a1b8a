package org.foxtailplank.controller.internal.admin;

/**
 * An answer of the administration API.
 *
 * @param status HTTP status
 * @param body record that is written as JSON
 */
record Answer(int status, Object body) {
    static Answer ok(Object body) {
        return new Answer(200, body);
    }

    static Answer problem(Problem problem) {
        return new Answer(problem.status(), new ProblemBody(problem, null));
    }

    static Answer conflict(Problem problem, Object current) {
        return new Answer(problem.status(), new ProblemBody(problem, current));
    }

    /**
     * Body of an error answer.
     *
     * @param error the error
     * @param current the object as it is now, where a change met another one
     */
    record ProblemBody(Problem error, Object current) {}
}
