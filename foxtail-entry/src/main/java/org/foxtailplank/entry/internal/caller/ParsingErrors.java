package org.foxtailplank.entry.internal.caller;

import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;
import org.foxtailplank.entry.internal.flow.EntryAnswers;

/** Answers malformed HTTP requests with an outcome. */
public final class ParsingErrors extends ParsingErrorHandler {

    /** Singleton, under the name that Pekko requires. */
    public static final ParsingErrors MODULE$ = new ParsingErrors();

    private ParsingErrors() {}

    @Override
    public HttpResponse handle(
            StatusCode status, ErrorInfo error, LoggingAdapter log, ServerSettings settings) {
        String why =
                "Not run: this is no HTTP request that can be taken (" + error.summary() + ").";
        return Responses.of(EntryAnswers.rejected(status.intValue(), why), "none", "");
    }
}
