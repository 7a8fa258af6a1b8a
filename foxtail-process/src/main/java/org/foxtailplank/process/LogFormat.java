package org.foxtailplank.process;

import java.util.logging.Formatter;

/** Format of log lines. */
public enum LogFormat {
    /** Plain text. */
    TEXT {
        @Override
        Formatter formatter() {
            return new TextLogFormatter();
        }
    },
    /** One JSON object per line. */
    JSON {
        @Override
        Formatter formatter() {
            return new JsonLogFormatter();
        }
    };

    abstract Formatter formatter();
}
