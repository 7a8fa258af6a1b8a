package org.foxtailplank.node;

import java.util.List;

/** Settings that can't be used; the message names all that is wrong. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> problems) {
        super(String.join("; ", problems));
    }
}
