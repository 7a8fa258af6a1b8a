package org.foxtailplank.load.internal.http;

/** Bodies of requests, and the check that an answer belongs to its request and is whole. */
final class Payload {

    private static final char FILL = '.';
    private static final String END = "#";

    private Payload() {}

    /** A body of about the given size that names the request and marks its own end. */
    static String of(String id, int bytes) {
        StringBuilder body = new StringBuilder(id).append(' ');
        while (body.length() < bytes - END.length()) {
            body.append(FILL);
        }
        return body.append(END).toString();
    }

    /** Whether an answer echoes the whole of the request's body. */
    static boolean isEchoed(String sent, String answer) {
        return answer.contains(sent);
    }
}
