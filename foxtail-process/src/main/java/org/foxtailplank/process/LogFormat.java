package org.foxtailplank.process;

import java.util.logging.Formatter;

/** How log lines are written. */
public enum LogFormat {
    /** Short lines for people. */
    TEXT {
        @Override
        Formatter formatter() {
            return new TextLogFormatter();
        }
    },
    /** One JSON object a line. */
    JSON {
        @Override
        Formatter formatter() {
            return new JsonLogFormatter();
        }
    };

    abstract Formatter formatter();
}
