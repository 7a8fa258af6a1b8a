package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.foxtailplank.request.Outcome;

/**
 * Complete HTTP response for a caller, passed between entries.
 *
 * @param outcome outcome of the attempt
 * @param status HTTP status
 * @param headers header fields, in order
 * @param body complete body
 */
public record CallerAnswer(
        Outcome outcome, int status, List<HeaderField> headers, ByteString body) {

    public CallerAnswer {
        headers = List.copyOf(headers);
    }
}
