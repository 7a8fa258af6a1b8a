package org.foxtailplank.entry.internal.caller;

import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;
import org.foxtailplank.entry.internal.flow.Answers;

/** Answers bytes that are no HTTP request, so that even then the caller is told the outcome. */
public final class ParsingErrors extends ParsingErrorHandler {

    /** The one object, under the name by which Pekko looks for it. */
    public static final ParsingErrors MODULE$ = new ParsingErrors();

    private ParsingErrors() {}

    @Override
    public HttpResponse handle(
            StatusCode status, ErrorInfo error, LoggingAdapter log, ServerSettings settings) {
        String why =
                "Not run: this is no HTTP request that can be taken (" + error.summary() + ").";
        return Responses.of(Answers.bad(status.intValue(), why), "none", "");
    }
}
