package org.foxtailplank.process;

import java.util.Optional;

/** Version of this build. */
public final class Version {
    private Version() {}

    /** Returns the version from the jar's manifest, or {@code development}. */
    public static String text() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
