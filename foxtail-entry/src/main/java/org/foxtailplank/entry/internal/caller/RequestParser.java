package org.foxtailplank.entry.internal.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.Header;
import org.foxtailplank.entry.internal.flow.EntryAnswers;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;

/** Parses the path and headers of callers' requests. */
final class RequestParser {

    private static final String PREFIX = "/s/";
    private static final String TEAM = "Foxtail-Team";
    private static final String DEADLINE = "Foxtail-Deadline";
    private static final String REPEATABLE = "Foxtail-Repeatable";
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(1);
    private static final int MAX_KEY_LENGTH = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int HEADERS_TOO_LARGE = 431;

    /** Headers that concern the caller's connection or that the entry sets itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "host",
                    "content-length",
                    "content-type",
                    "user-agent",
                    "timeout-access",
                    "remote-address",
                    "foxtail-request-id",
                    "foxtail-outcome");

    private RequestParser() {}

    /** A parsed request head, without the body. */
    record Head(
            String id,
            ServiceId service,
            String target,
            RequestClass requestClass,
            Optional<TeamId> team,
            Duration deadline,
            boolean repeatable,
            Optional<String> key,
            List<Header> headers) {

        CallerRequest withBody(HttpRequest http, byte[] body, long arrived) {
            return new CallerRequest(
                    id,
                    service,
                    http.method().value(),
                    target,
                    requestClass,
                    team,
                    arrived,
                    arrived + deadline.toNanos(),
                    repeatable,
                    key,
                    http.entity().getContentType().toString(),
                    headers,
                    body);
        }
    }

    static Head parse(HttpRequest http, Settings settings) throws BadRequestException {
        checkSize(http, settings);
        String path = http.getUri().getPathString();
        ServiceId service = service(path);
        ServiceSettings serviceSettings = settings.services().get(service);
        if (serviceSettings == null) {
            throw new BadRequestException(EntryAnswers.unknownService(service.toString()));
        }
        Optional<String> key = key(http);
        return new Head(
                UUID.randomUUID().toString(),
                service,
                target(http, path, service),
                requestClass(http, serviceSettings),
                team(http, settings),
                deadline(http, serviceSettings),
                repeatable(http, serviceSettings, key),
                key,
                forwardedHeaders(http));
    }

    private static void checkSize(HttpRequest http, Settings settings) throws BadRequestException {
        int max = settings.limits().maxHeaderBytes();
        int size = http.getUri().toString().length();
        for (HttpHeader h : http.getHeaders()) {
            size += h.name().length() + h.value().length();
        }
        if (size > max) {
            throw badRequest(HEADERS_TOO_LARGE, "the headers are larger than " + max + " bytes");
        }
    }

    private static ServiceId service(String path) throws BadRequestException {
        String rest = path.startsWith(PREFIX) ? path.substring(PREFIX.length()) : "";
        String name = rest.contains("/") ? rest.substring(0, rest.indexOf('/')) : rest;
        try {
            return ServiceId.of(name);
        } catch (IllegalArgumentException e) {
            throw badRequest(BAD_REQUEST, "the path \"" + path + "\" is not /s/{service}/{path}");
        }
    }

    private static String target(HttpRequest http, String path, ServiceId service) {
        String rest = path.substring(PREFIX.length() + service.value().length());
        String query = http.getUri().rawQueryString().map(q -> "?" + q).orElse("");
        return (rest.isEmpty() ? "/" : rest) + query;
    }

    private static RequestClass requestClass(HttpRequest http, ServiceSettings serviceSettings)
            throws BadRequestException {
        Optional<String> text = header(http, RequestClass.HEADER);
        if (text.isEmpty()) {
            return serviceSettings.requestClass();
        }
        return RequestClass.parse(text.get().toLowerCase(Locale.ROOT))
                .orElseThrow(
                        () ->
                                invalidHeader(
                                        RequestClass.HEADER,
                                        text.get(),
                                        "urgent, interactive, batch"));
    }

    private static Optional<TeamId> team(HttpRequest http, Settings settings)
            throws BadRequestException {
        Optional<String> text = header(http, TEAM).filter(t -> !t.isBlank());
        if (text.isEmpty()) {
            return Optional.empty();
        }
        Optional<TeamId> known =
                settings.teams().keySet().stream()
                        .filter(t -> t.toString().equals(text.get()))
                        .findFirst();
        if (known.isEmpty()) {
            throw badRequest(
                    FORBIDDEN, "there is no team \"" + text.get() + "\" in the configuration");
        }
        return known;
    }

    private static Duration deadline(HttpRequest http, ServiceSettings serviceSettings)
            throws BadRequestException {
        Optional<String> text = header(http, DEADLINE);
        if (text.isEmpty()) {
            return serviceSettings.deadline();
        }
        return Durations.parse(text.get())
                .filter(d -> !d.isZero() && d.compareTo(MAX_DEADLINE) <= 0)
                .orElseThrow(
                        () -> invalidHeader(DEADLINE, text.get(), "1ms to 1m, for example 800ms"));
    }

    private static boolean repeatable(
            HttpRequest http, ServiceSettings serviceSettings, Optional<String> key)
            throws BadRequestException {
        Optional<String> text = header(http, REPEATABLE);
        if (text.isEmpty()) {
            return serviceSettings.repeatable() && key.isEmpty();
        }
        return switch (text.get()) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw invalidHeader(REPEATABLE, text.get(), "yes, no");
        };
    }

    private static Optional<String> key(HttpRequest http) throws BadRequestException {
        Optional<String> key = header(http, CallerRequest.KEY_HEADER);
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH)) {
            throw badRequest(
                    BAD_REQUEST, "an idempotency key has 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }

    /** Returns the value of a header; rejects repeated headers, which are ambiguous. */
    private static Optional<String> header(HttpRequest http, String name)
            throws BadRequestException {
        Optional<String> found = Optional.empty();
        for (HttpHeader h : http.getHeaders()) {
            if (h.is(name.toLowerCase(Locale.ROOT))) {
                if (found.isPresent()) {
                    throw badRequest(BAD_REQUEST, "the header " + name + " stands there twice");
                }
                found = Optional.of(h.value().strip());
            }
        }
        return found;
    }

    private static List<Header> forwardedHeaders(HttpRequest http) {
        List<Header> headers = new ArrayList<>();
        for (HttpHeader h : http.getHeaders()) {
            if (!NOT_FORWARDED.contains(h.lowercaseName())) {
                headers.add(new Header(h.name(), h.value()));
            }
        }
        return headers;
    }

    private static BadRequestException invalidHeader(String header, String found, String allowed) {
        return badRequest(BAD_REQUEST, header + " is \"" + found + "\"; allowed: " + allowed);
    }

    private static BadRequestException badRequest(int status, String why) {
        return new BadRequestException(EntryAnswers.rejected(status, "Not run: " + why + "."));
    }
}
