package org.foxtailplank.node.log;

/** Builder of one log line, a JSON object. */
public final class LogLine {
    static final LogLine SUPPRESSED = new LogLine(null, "", 0);

    private static final int FIRST_PRINTABLE = 0x20;

    private final NodeLog mLog;
    private final StringBuilder mText;

    LogLine(NodeLog log, String kind, long wallMs) {
        mLog = log;
        mText =
                log == null
                        ? null
                        : new StringBuilder("{\"ms\":")
                                .append(wallMs)
                                .append(",\"kind\":\"")
                                .append(kind)
                                .append('"');
    }

    /** Adds a numeric field. */
    public LogLine with(String name, long value) {
        if (mText != null) {
            mText.append(",\"").append(name).append("\":").append(value);
        }
        return this;
    }

    /** Adds a string field. */
    public LogLine with(String name, Object value) {
        if (mText != null) {
            mText.append(",\"").append(name).append("\":\"");
            escape(String.valueOf(value));
            mText.append('"');
        }
        return this;
    }

    /** Escapes quotes and replaces control characters, so that a value can't inject a log line. */
    private void escape(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                mText.append('\\').append(c);
            } else if (c < FIRST_PRINTABLE) {
                mText.append(' ');
            } else {
                mText.append(c);
            }
        }
    }

    /** Queues the line for the writer thread. */
    public void write() {
        if (mText != null) {
            mLog.enqueue(mText.append('}').toString());
        }
    }
}
