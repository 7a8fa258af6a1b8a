package org.foxtailplank.standin.internal.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

/** Answers requests. */
@FunctionalInterface
public interface Handler {

    /** Answers one request; an {@link IOException} or a bad number is the client's fault. */
    CompletionStage<Reply> handle(Request request) throws IOException;
}
