package org.foxtailplank.entry.internal.flow;

import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.Header;

/** Builds new requests to backend servers from callers' requests. */
final class BackendRequests {

    private BackendRequests() {}

    static HttpRequest of(CallerRequest r) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(RawHeader.create(CallerRequest.ID_HEADER, r.id()));
        for (Header h : r.headers()) {
            headers.add(RawHeader.create(h.name(), h.value()));
        }
        HttpRequest request =
                HttpRequest.create(r.target()).withMethod(method(r.method())).withHeaders(headers);
        return r.body().length == 0
                ? request
                : request.withEntity(HttpEntities.create(contentType(r.contentType()), r.body()));
    }

    private static HttpMethod method(String name) {
        return HttpMethods.lookup(name)
                .orElseGet(() -> HttpMethods.custom(name, false, false, null));
    }

    private static ContentType contentType(String text) {
        ContentType parsed = ContentTypes.parse(text);
        return parsed == null ? ContentTypes.APPLICATION_OCTET_STREAM : parsed;
    }
}
