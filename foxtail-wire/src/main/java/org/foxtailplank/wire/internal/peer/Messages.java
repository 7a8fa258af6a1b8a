package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.internal.idempotency.Era;
import org.foxtailplank.internal.idempotency.Position;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.wire.AnswerLookup;
import org.foxtailplank.wire.AnswerLookupResult;
import org.foxtailplank.wire.CallerAnswer;
import org.foxtailplank.wire.ClaimsPosition;
import org.foxtailplank.wire.ClaimsPositionRequest;
import org.foxtailplank.wire.ConfigurationAnswer;
import org.foxtailplank.wire.ConfigurationRequest;
import org.foxtailplank.wire.HeaderField;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.RequestHandover;
import org.foxtailplank.wire.RequestHandoverResult;
import org.foxtailplank.wire.TailRecord;
import org.foxtailplank.wire.generated.peer.AnswerLookupProto;
import org.foxtailplank.wire.generated.peer.AnswerLookupResultProto;
import org.foxtailplank.wire.generated.peer.CallerAnswerProto;
import org.foxtailplank.wire.generated.peer.ClaimsPositionProto;
import org.foxtailplank.wire.generated.peer.ClaimsPositionRequestProto;
import org.foxtailplank.wire.generated.peer.ConfigurationAnswerProto;
import org.foxtailplank.wire.generated.peer.ConfigurationRequestProto;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.HeaderFieldProto;
import org.foxtailplank.wire.generated.peer.RequestHandoverProto;
import org.foxtailplank.wire.generated.peer.RequestHandoverResultProto;
import org.foxtailplank.wire.generated.peer.TailRecordProto;

/** Protobuf codec of peer messages. */
final class Messages {

    private Messages() {}

    static EnvelopeProto.Builder encode(PeerMessage message) {
        EnvelopeProto.Builder envelope = EnvelopeProto.newBuilder();
        if (message instanceof ConfigurationRequest m) {
            return envelope.setConfigurationRequest(
                    ConfigurationRequestProto.newBuilder()
                            .setPosition(Positions.encode(m.position()))
                            .setStateNumber(m.stateNumber())
                            .setFrom(m.from()));
        } else if (message instanceof ConfigurationAnswer m) {
            return envelope.setConfigurationAnswer(encode(m));
        } else if (message instanceof AnswerLookup m) {
            return envelope.setAnswerLookup(
                    AnswerLookupProto.newBuilder()
                            .setService(m.service().value())
                            .setKey(m.key())
                            .setFingerprint(m.fingerprint()));
        } else if (message instanceof AnswerLookupResult m) {
            AnswerLookupResultProto.Builder proto =
                    AnswerLookupResultProto.newBuilder().setState(encode(m.state()));
            m.answer().ifPresent(a -> proto.setAnswer(encode(a)));
            return envelope.setAnswerLookupResult(proto);
        } else if (message instanceof RequestHandover m) {
            return envelope.setRequestHandover(encode(m));
        } else if (message instanceof RequestHandoverResult m) {
            return envelope.setRequestHandoverResult(
                    RequestHandoverResultProto.newBuilder().setAnswer(encode(m.answer())));
        } else if (message instanceof ClaimsPositionRequest) {
            return envelope.setClaimsPositionRequest(
                    ClaimsPositionRequestProto.getDefaultInstance());
        } else if (message instanceof ClaimsPosition m) {
            return envelope.setClaimsPosition(encode(m.position()));
        }
        throw new IllegalStateException("unsupported message type: " + message.getClass());
    }

    /** Decodes the message of an envelope; empty if it is unknown or malformed. */
    static Optional<PeerMessage> decode(EnvelopeProto envelope) {
        try {
            return switch (envelope.getBodyCase()) {
                case CONFIGURATION_REQUEST ->
                        Optional.of(decode(envelope.getConfigurationRequest()));
                case CONFIGURATION_ANSWER -> Optional.of(decode(envelope.getConfigurationAnswer()));
                case ANSWER_LOOKUP -> Optional.of(decode(envelope.getAnswerLookup()));
                case ANSWER_LOOKUP_RESULT -> decode(envelope.getAnswerLookupResult());
                case REQUEST_HANDOVER -> Optional.of(decode(envelope.getRequestHandover()));
                case REQUEST_HANDOVER_RESULT ->
                        decode(envelope.getRequestHandoverResult().getAnswer())
                                .map(RequestHandoverResult::new);
                case CLAIMS_POSITION_REQUEST -> Optional.of(new ClaimsPositionRequest());
                case CLAIMS_POSITION -> Optional.of(decode(envelope.getClaimsPosition()));
                default -> Optional.empty();
            };
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ConfigurationRequest decode(ConfigurationRequestProto proto) {
        return new ConfigurationRequest(
                Positions.decode(proto.getPosition()), proto.getStateNumber(), proto.getFrom());
    }

    private static ConfigurationAnswerProto encode(ConfigurationAnswer m) {
        ConfigurationAnswerProto.Builder proto =
                ConfigurationAnswerProto.newBuilder()
                        .setStateNumber(m.stateNumber())
                        .setFrom(m.from())
                        .setSize(m.size())
                        .setChunk(m.chunk());
        for (TailRecord r : m.tail()) {
            proto.addTail(
                    TailRecordProto.newBuilder()
                            .setOffset(r.offset())
                            .setId(r.id().value())
                            .setData(r.data()));
        }
        return proto.build();
    }

    private static ConfigurationAnswer decode(ConfigurationAnswerProto proto) {
        List<TailRecord> tail =
                proto.getTailList().stream()
                        .map(
                                r ->
                                        new TailRecord(
                                                r.getOffset(), RecordId.of(r.getId()), r.getData()))
                        .toList();
        return new ConfigurationAnswer(
                tail, proto.getStateNumber(), proto.getFrom(), proto.getSize(), proto.getChunk());
    }

    private static AnswerLookup decode(AnswerLookupProto proto) {
        return new AnswerLookup(
                ServiceId.of(proto.getService()), proto.getKey(), proto.getFingerprint());
    }

    private static Optional<PeerMessage> decode(AnswerLookupResultProto proto) {
        return switch (proto.getState()) {
            case ANSWERED -> decode(proto.getAnswer()).map(AnswerLookupResult::answered);
            case RUNNING -> without(AnswerLookupResult.State.RUNNING);
            case NOT_KNOWN -> without(AnswerLookupResult.State.NOT_KNOWN);
            case OTHER_REQUEST -> without(AnswerLookupResult.State.OTHER_REQUEST);
            default -> Optional.empty();
        };
    }

    private static Optional<PeerMessage> without(AnswerLookupResult.State state) {
        return Optional.of(AnswerLookupResult.without(state));
    }

    private static AnswerLookupResultProto.State encode(AnswerLookupResult.State state) {
        return switch (state) {
            case ANSWERED -> AnswerLookupResultProto.State.ANSWERED;
            case RUNNING -> AnswerLookupResultProto.State.RUNNING;
            case NOT_KNOWN -> AnswerLookupResultProto.State.NOT_KNOWN;
            case OTHER_REQUEST -> AnswerLookupResultProto.State.OTHER_REQUEST;
        };
    }

    private static RequestHandoverProto encode(RequestHandover m) {
        return RequestHandoverProto.newBuilder()
                .setRequestId(m.requestId())
                .setService(m.service().value())
                .setMethod(m.method())
                .setPath(m.path())
                .addAllHeader(encode(m.headers()))
                .setBody(m.body())
                .setDeadlineMillis(m.deadline().toMillis())
                .build();
    }

    private static RequestHandover decode(RequestHandoverProto proto) {
        return new RequestHandover(
                proto.getRequestId(),
                ServiceId.of(proto.getService()),
                proto.getMethod(),
                proto.getPath(),
                decode(proto.getHeaderList()),
                proto.getBody(),
                Duration.ofMillis(proto.getDeadlineMillis()));
    }

    private static ClaimsPositionProto encode(Position position) {
        return ClaimsPositionProto.newBuilder()
                .setEraNumber(position.era().number())
                .setEraId(position.era().id())
                .setNextOffset(position.next())
                .setLastRecord(position.last().map(RecordId::value).orElse(""))
                .setLostEra(position.lostEra())
                .build();
    }

    private static ClaimsPosition decode(ClaimsPositionProto proto) {
        String last = proto.getLastRecord();
        return new ClaimsPosition(
                new Position(
                        new Era(proto.getEraNumber(), proto.getEraId()),
                        proto.getNextOffset(),
                        last.isEmpty() ? Optional.empty() : Optional.of(RecordId.of(last)),
                        proto.getLostEra()));
    }

    private static CallerAnswerProto encode(CallerAnswer answer) {
        return CallerAnswerProto.newBuilder()
                .setOutcome(answer.outcome().text())
                .setStatus(answer.status())
                .addAllHeader(encode(answer.headers()))
                .setBody(answer.body())
                .build();
    }

    private static Optional<CallerAnswer> decode(CallerAnswerProto proto) {
        List<HeaderField> headers = decode(proto.getHeaderList());
        ByteString body = proto.getBody();
        return Outcome.parse(proto.getOutcome())
                .map(outcome -> new CallerAnswer(outcome, proto.getStatus(), headers, body));
    }

    private static List<HeaderFieldProto> encode(List<HeaderField> headers) {
        return headers.stream()
                .map(h -> HeaderFieldProto.newBuilder().setName(h.name()).setValue(h.value()))
                .map(HeaderFieldProto.Builder::build)
                .toList();
    }

    private static List<HeaderField> decode(List<HeaderFieldProto> headers) {
        return headers.stream().map(h -> new HeaderField(h.getName(), h.getValue())).toList();
    }
}
