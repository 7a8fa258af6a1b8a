package org.foxtailplank.node.log;

/** One line of a log, while it is being filled. */
public final class LogLine {
    static final LogLine NONE = new LogLine(null, "", 0);

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

    /** Adds a number. */
    public LogLine with(String name, long value) {
        if (mText != null) {
            mText.append(",\"").append(name).append("\":").append(value);
        }
        return this;
    }

    /** Adds a value as text. */
    public LogLine with(String name, Object value) {
        if (mText != null) {
            mText.append(",\"").append(name).append("\":\"");
            escape(String.valueOf(value));
            mText.append('"');
        }
        return this;
    }

    /** A line break or a quote inside a value would let a caller forge a line. */
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

    /** Hands the line to the log's writer. */
    public void write() {
        if (mText != null) {
            mLog.write(mText.append('}').toString());
        }
    }
}
