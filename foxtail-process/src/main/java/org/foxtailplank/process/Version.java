package org.foxtailplank.process;

import java.util.Optional;

/** The version of this build. */
public final class Version {
    private Version() {}

    /** The version as the jar's manifest states it. */
    public static String text() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
