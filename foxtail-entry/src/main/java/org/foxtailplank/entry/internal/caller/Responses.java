package org.foxtailplank.entry.internal.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.Header;
import org.foxtailplank.request.Outcome;

/** Converts answers to HTTP responses. */
final class Responses {

    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "content-length",
                    "content-type",
                    "transfer-encoding",
                    "trailer",
                    "upgrade",
                    "server",
                    "date",
                    "foxtail-outcome",
                    "foxtail-request-id");

    private static final int FIRST_ERROR_STATUS = 400;

    private Responses() {}

    static HttpResponse of(Answer answer, String id, String keepAlive) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(RawHeader.create(Outcome.HEADER, answer.outcome().text()));
        headers.add(RawHeader.create(CallerRequest.ID_HEADER, id));
        answer.retryAfter()
                .ifPresent(d -> headers.add(RawHeader.create("Retry-After", "" + d.toSeconds())));
        for (Header h : answer.headers()) {
            if (!NOT_FORWARDED.contains(h.name().toLowerCase(Locale.ROOT))) {
                headers.add(RawHeader.create(h.name(), h.value()));
            }
        }
        headers.add(
                keepAlive.isEmpty()
                        ? Connection.create("close")
                        : RawHeader.create("Keep-Alive", keepAlive));
        ContentType parsed = ContentTypes.parse(answer.contentType());
        ContentType type = parsed == null ? ContentTypes.APPLICATION_OCTET_STREAM : parsed;
        return HttpResponse.create()
                .withStatus(status(answer.status()))
                .withHeaders(headers)
                .withEntity(HttpEntities.create(type, answer.body()));
    }

    private static StatusCode status(int code) {
        return StatusCodes.lookup(code)
                .orElseGet(() -> StatusCodes.custom(code, "", "", code < FIRST_ERROR_STATUS, true));
    }
}
