package org.foxtailplank.controller.internal.admin;

/**
 * An answer of the administration API.
 *
 * @param status HTTP status
 * @param body record that is written as JSON
 */
record ApiResponse(int status, Object body) {
    static ApiResponse ok(Object body) {
        return new ApiResponse(200, body);
    }

    static ApiResponse problem(Problem problem) {
        return new ApiResponse(problem.status(), new ProblemBody(problem, null));
    }

    static ApiResponse conflict(Problem problem, Object current) {
        return new ApiResponse(problem.status(), new ProblemBody(problem, current));
    }

    /**
     * Body of an error answer.
     *
     * @param error the error
     * @param current the object as it is now, where a change met another one
     */
    record ProblemBody(Problem error, Object current) {}
}
