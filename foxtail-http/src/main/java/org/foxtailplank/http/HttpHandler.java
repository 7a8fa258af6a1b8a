package org.foxtailplank.http;

import java.util.function.Consumer;

/** Answers requests. */
@FunctionalInterface
public interface HttpHandler {

    /** Answers a request, now or later, once. */
    void handle(HttpRequest request, Consumer<HttpReply> reply);
}
