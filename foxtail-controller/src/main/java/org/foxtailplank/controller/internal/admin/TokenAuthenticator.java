package org.foxtailplank.controller.internal.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.settings.TeamSettings;

/** Authenticates requests by bearer token. */
final class TokenAuthenticator {
    private static final String SCHEME = "Bearer ";

    private final Supplier<Map<TeamId, TeamSettings>> mTeams;

    TokenAuthenticator(Supplier<Map<TeamId, TeamSettings>> teams) {
        mTeams = teams;
    }

    /** Returns the principal for an {@code Authorization} header. */
    Optional<Principal> authenticate(Optional<String> authorization) {
        return authorization
                .filter(text -> text.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(text -> text.substring(SCHEME.length()).trim())
                .filter(token -> !token.isEmpty())
                .flatMap(this::principalOf);
    }

    private Optional<Principal> principalOf(String token) {
        byte[] given = token.getBytes(StandardCharsets.UTF_8);
        Optional<Principal> found = Optional.empty();
        // Compares all tokens in constant time, so that response times reveal nothing about them.
        for (Map.Entry<TeamId, TeamSettings> team : mTeams.get().entrySet()) {
            byte[] known = team.getValue().token().getBytes(StandardCharsets.UTF_8);
            if (MessageDigest.isEqual(known, given)) {
                found = Optional.of(new Principal(team.getKey(), team.getValue().role()));
            }
        }
        return found;
    }
}
