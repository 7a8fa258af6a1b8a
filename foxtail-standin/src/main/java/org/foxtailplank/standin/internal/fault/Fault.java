package org.foxtailplank.standin.internal.fault;

import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailplank.standin.internal.http.Reply;

/**
 * A fault as switched on over HTTP.
 *
 * @param target what it is about: {@code log}, {@code vms}, {@code workers} or {@code requests}
 * @param kind what goes wrong
 * @param delayMs delay of {@link FaultKind#DELAY}
 * @param probability share of the calls that it hits; all when left out
 * @param times calls that it hits before it ends; no end when left out
 * @param vm VM that it is about; any when left out
 * @param rack rack whose VMs it is about
 * @param stream stream that it is about
 * @param offset end of the stream after {@link FaultKind#SHORTEN}, its oldest offset after {@link
 *     FaultKind#EXPIRE}
 */
public record Fault(
        String target,
        FaultKind kind,
        long delayMs,
        Double probability,
        Integer times,
        Optional<String> vm,
        Optional<String> rack,
        Optional<String> stream,
        OptionalLong offset) {

    private static final int UNAVAILABLE = 503;

    public Fault {
        probability = probability == null ? 1.0 : probability;
        times = times == null ? Integer.MAX_VALUE : times;
        vm = vm == null ? Optional.empty() : vm;
        rack = rack == null ? Optional.empty() : rack;
        stream = stream == null ? Optional.empty() : stream;
        offset = offset == null ? OptionalLong.empty() : offset;
    }

    Reply refusal() {
        return Reply.error(UNAVAILABLE, "refused by a fault");
    }
}
