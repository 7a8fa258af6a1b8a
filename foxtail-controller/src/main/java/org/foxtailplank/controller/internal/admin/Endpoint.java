package org.foxtailplank.controller.internal.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.settings.Role;

/**
 * One call that the administration API takes.
 *
 * @param method HTTP method
 * @param path path segments; {@code *} stands for a name
 * @param requiredRole role that it needs
 * @param handler what it does
 */
record Endpoint(String method, List<String> path, Role requiredRole, Handler handler) {
    /** What a call does. */
    @FunctionalInterface
    interface Handler {
        CompletionStage<ApiResponse> handle(ApiRequest call) throws ApiRequest.InvalidBodyException;
    }

    static Endpoint of(String method, String path, Role role, Handler handler) {
        return new Endpoint(method, segments(path), role, handler);
    }

    static List<String> segments(String path) {
        List<String> segments = new ArrayList<>(List.of(path.split("/")));
        segments.removeIf(String::isEmpty);
        return segments;
    }

    /** Values of the placeholders, where the path is this one's. */
    Optional<List<String>> match(List<String> segments) {
        if (segments.size() != path.size()) {
            return Optional.empty();
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            if (path.get(i).equals("*")) {
                names.add(segments.get(i));
            } else if (!path.get(i).equals(segments.get(i))) {
                return Optional.empty();
            }
        }
        return Optional.of(names);
    }
}
