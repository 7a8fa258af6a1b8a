package org.foxtailplank.soak;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Follows the takeovers in a node's log; reads only what was added. */
final class Takeovers {
    private static final Pattern OWNS = Pattern.compile("\"ms\":(\\d+),\"kind\":\"owner-start\"");

    private long mRead;
    private long mLatestMs;

    /** When the last one was; 0 if there was none. */
    synchronized long latestMs(Path log) throws IOException {
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
            byte[] added = new byte[(int) (file.length() - mRead)];
            file.seek(mRead);
            file.readFully(added);
            String text = new String(added, StandardCharsets.ISO_8859_1);
            String lines = text.substring(0, text.lastIndexOf('\n') + 1);
            mRead += lines.length();
            Matcher takeovers = OWNS.matcher(lines);
            while (takeovers.find()) {
                mLatestMs = Long.parseLong(takeovers.group(1));
            }
        }
        return mLatestMs;
    }
}
