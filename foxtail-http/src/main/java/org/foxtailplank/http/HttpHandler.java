package org.foxtailplank.http;

import java.util.function.Consumer;

/** Handles the requests of an {@link HttpServer}. */
@FunctionalInterface
public interface HttpHandler {

    /** Handles a request and passes exactly one reply to the callback, now or later. */
    void handle(HttpRequest request, Consumer<HttpReply> reply);
}
