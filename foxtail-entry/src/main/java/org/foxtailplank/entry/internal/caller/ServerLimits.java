package org.foxtailplank.entry.internal.caller;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.foxtailplank.settings.LimitSettings;

/**
 * The HTTP server's limits, which hold against hostile callers before any of our code sees them.
 */
final class ServerLimits {

    private static final int MAX_HEADERS = 64;

    private ServerLimits() {}

    static ServerSettings of(ClassicActorSystemProvider system, LimitSettings limits) {
        // Our own deadlines bound the time of a request, so the server's time-out is off. The idle
        // time-out, longer than any deadline, catches a peer that vanished or doesn't read its
        // answer.
        String text =
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
                ConfigFactory.parseString(text)
                        .withFallback(system.classicSystem().settings().config()));
    }
}
