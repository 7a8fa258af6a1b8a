package org.foxtailplank.entry.internal.caller;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.foxtailplank.settings.LimitSettings;

/** Limits of the HTTP server, which apply before requests reach the entry's own code. */
final class ServerLimits {

    private static final int MAX_HEADERS = 64;

    private ServerLimits() {}

    static ServerSettings of(ClassicActorSystemProvider system, LimitSettings limits) {
        // The server's request timeout is off, because each request has a deadline. The idle
        // timeout, longer than any deadline, closes connections of callers that disappeared or
        // don't read their answers.
        String config =
                """
                pekko.http.server {
                  request-timeout = infinite
                  idle-timeout = 75 s
                  pipelining-limit = 1
                  backlog = 512
                  parsing {
                    max-uri-length = %d
                    max-header-value-length = %d
                    max-header-count = %d
                    max-content-length = %d
                    illegal-header-warnings = off
                    error-logging-verbosity = off
                    error-handler = "%s"
                  }
                }
                """
                        .formatted(
                                Math.min(limits.maxHeaderBytes(), 8192),
                                limits.maxHeaderBytes(),
                                MAX_HEADERS,
                                limits.maxBodyBytes(),
                                ParsingErrors.class.getName());
        return ServerSettings.create(
                ConfigFactory.parseString(config)
                        .withFallback(system.classicSystem().settings().config()));
    }
}
