package org.foxtailplank.controller.internal.admin;

/**
 * A response of the administration API.
 *
 * @param status HTTP status
 * @param body body to be serialized as JSON
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
     * Body of an error response.
     *
     * @param error the error
     * @param current current state of the object, if the change conflicted with another one
     */
    record ProblemBody(Problem error, Object current) {}
}
