package org.foxtailplank.node;

import java.util.List;

/** Thrown for invalid settings; the message lists all problems. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> problems) {
        super(String.join("; ", problems));
    }
}
