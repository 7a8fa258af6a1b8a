package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.foxtailplank.request.Outcome;

/**
 * A whole answer to a caller, handed from one entry to another.
 *
 * @param outcome what became of the attempt
 * @param status HTTP status
 * @param headers header fields, in order
 * @param body whole body
 */
public record CallerAnswer(
        Outcome outcome, int status, List<HeaderField> headers, ByteString body) {

    public CallerAnswer {
        headers = List.copyOf(headers);
    }
}
