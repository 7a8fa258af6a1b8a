package org.foxtailplank.controller.internal.admin;

import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.settings.Role;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;

/**
 * An error of the administration API; this class holds all error texts.
 *
 * @param status HTTP status
 * @param code machine-readable code
 * @param what what happened
 * @param why why it happened
 * @param todo how to resolve it
 */
record Problem(int status, String code, String what, String why, String todo) {
    static Problem unauthenticated() {
        return new Problem(
                401,
                "no-token",
                "The call was refused.",
                "It carries no token that is known here.",
                "Send 'Authorization: Bearer TOKEN' with the token of a team in the settings.");
    }

    static Problem insufficientRole(String team, Role has, Role needs) {
        return new Problem(
                403,
                "role-too-low",
                "The call was refused.",
                "Team "
                        + team
                        + " has the role "
                        + roleName(has)
                        + "; this needs "
                        + roleName(needs)
                        + ".",
                "Ask an operator to make the call, or to raise the role in the settings.");
    }

    static Problem teamMismatch(String team, String other) {
        return new Problem(
                403,
                "other-team",
                "The call was refused.",
                "Team " + team + " may not act for team " + other + ".",
                "Use the token of team " + other + ", or one with the role operator.");
    }

    static Problem pathNotFound(String path) {
        return new Problem(
                404,
                "no-path",
                "There is nothing at " + path + ".",
                "The administration API has no such path.",
                "See docs/ADMIN-API.md for the paths.");
    }

    static Problem methodNotAllowed(String method, String path) {
        return new Problem(
                405,
                "no-method",
                method + " is not allowed at " + path + ".",
                "The path exists with another method.",
                "See docs/ADMIN-API.md for its methods.");
    }

    static Problem objectNotFound(ObjectKey key) {
        String kind = key.kind().name().toLowerCase(java.util.Locale.ROOT);
        return new Problem(
                404,
                "unknown-object",
                "There is no " + kind + " " + key.name() + ".",
                "The log holds no record of it, or this node has not read it yet.",
                "List what there is with GET, and check the name.");
    }

    static Problem explanationNotFound(String kind, String name) {
        return new Problem(
                404,
                "unknown-object",
                "There is no " + kind + " " + name + " to explain.",
                "The log holds no record of it, or the kind is none of vm, pool, wave, job,"
                        + " worker.",
                "List what there is with GET, and check kind and name.");
    }

    static Problem zoneNotFound(ZoneId zone) {
        return invalidBody("There is no zone " + zone + ".");
    }

    static Problem invalidBody(String detail) {
        return new Problem(
                400,
                "bad-body",
                "The body is invalid, and nothing was changed.",
                detail,
                "Correct the body; docs/ADMIN-API.md gives the fields of each call.");
    }

    static Problem invalidQuery(String detail) {
        return new Problem(
                400,
                "bad-query",
                "The query is invalid.",
                detail,
                "Correct the query; limit is 1 to 1000, after is the name a page ended with.");
    }

    static Problem noConfiguration() {
        return new Problem(
                409,
                "no-configuration",
                "Nothing was changed.",
                "No configuration was ever published to this log.",
                "Publish one first: foxtail config publish BASE [OVERLAY...].");
    }

    static Problem invalidConfiguration(String detail) {
        return new Problem(
                400,
                "bad-configuration",
                "The configuration was not published.",
                detail,
                "Correct every error above, then publish again from the version in force.");
    }

    static Problem voidChange(Verdict.Void verdict) {
        return new Problem(
                409,
                verdict.reason().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                "The change is void, and nothing was changed.",
                voidReason(verdict),
                voidRemedy(verdict));
    }

    static Problem platformUnavailable(String detail) {
        return new Problem(
                503,
                Outcome.NOT_RUN.text(),
                "The change was not made.",
                "The platform's log did not accept it: " + detail + ".",
                "Send it again once the platform answers; it certainly had no effect.");
    }

    static Problem outcomeUnknown(String detail) {
        return new Problem(
                503,
                Outcome.UNKNOWN.text(),
                "It is not known whether the change was made.",
                "The platform's log did not answer: " + detail + ".",
                "Read the object; send the change again with the same version, which takes"
                        + " effect at most once.");
    }

    static Problem internalError() {
        return new Problem(
                500,
                "internal",
                "The call failed.",
                "An error in this process; its log has the details.",
                "Report it with the log's lines of this time.");
    }

    private static String voidReason(Verdict.Void verdict) {
        return switch (verdict.reason()) {
            case STALE_VERSION -> sentence(verdict.detail());
            case TOO_LATE -> "The log had advanced too far before it accepted the change.";
            case OTHER_HISTORY -> "The log lost records that the change is based on.";
            case MALFORMED -> sentence(verdict.detail());
            case DUPLICATE_ID -> "The same change stands in the log already.";
            case STALE_EPOCH -> "Another controller acts for this zone: " + verdict.detail() + ".";
            case UNKNOWN_OBJECT -> sentence(verdict.detail());
            case WRONG_PHASE ->
                    "It is not possible in its present phase: " + verdict.detail() + ".";
            case OVER_BUDGET -> "It would break the availability budget: " + verdict.detail() + ".";
            case NOT_UNDERSTOOD ->
                    "A newer process wrote to it what this one doesn't understand: "
                            + verdict.detail()
                            + ".";
        };
    }

    private static String sentence(String detail) {
        return Character.toUpperCase(detail.charAt(0)) + detail.substring(1) + ".";
    }

    private static String voidRemedy(Verdict.Void verdict) {
        return switch (verdict.reason()) {
            case STALE_VERSION -> "Look at 'current', decide again, and send its version.";
            case DUPLICATE_ID, STALE_EPOCH, TOO_LATE, OTHER_HISTORY ->
                    "Read the object, and send the change again.";
            case UNKNOWN_OBJECT -> "List what there is with GET, and check the name.";
            case MALFORMED -> "Correct the change; nothing of it took effect.";
            case WRONG_PHASE -> "Wait until what is under way has ended, or cancel it.";
            case OVER_BUDGET -> "Wait for VMs to come back, wake some, or lower the budget.";
            case NOT_UNDERSTOOD -> "Send the call to an upgraded node, or finish the upgrade.";
        };
    }

    private static String roleName(Role role) {
        return role.name().toLowerCase(java.util.Locale.ROOT);
    }
}
