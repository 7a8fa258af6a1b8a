package org.foxtailplank.controller.internal.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.settings.Role;

/**
 * An endpoint of the administration API.
 *
 * @param method HTTP method
 * @param path path segments; {@code *} matches any name
 * @param requiredRole role that a request needs
 * @param handler handles matching requests
 */
record Endpoint(String method, List<String> path, Role requiredRole, Handler handler) {
    /** Handles a request. */
    @FunctionalInterface
    interface Handler {
        CompletionStage<ApiResponse> handle(ApiRequest request)
                throws ApiRequest.InvalidBodyException;
    }

    static Endpoint of(String method, String path, Role role, Handler handler) {
        return new Endpoint(method, segments(path), role, handler);
    }

    static List<String> segments(String path) {
        List<String> segments = new ArrayList<>(List.of(path.split("/")));
        segments.removeIf(String::isEmpty);
        return segments;
    }

    /** Returns the values of the placeholders if the path matches. */
    Optional<List<String>> match(List<String> segments) {
        if (segments.size() != path.size()) {
            return Optional.empty();
        }
        List<String> pathParameters = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            if (path.get(i).equals("*")) {
                pathParameters.add(segments.get(i));
            } else if (!path.get(i).equals(segments.get(i))) {
                return Optional.empty();
            }
        }
        return Optional.of(pathParameters);
    }
}
