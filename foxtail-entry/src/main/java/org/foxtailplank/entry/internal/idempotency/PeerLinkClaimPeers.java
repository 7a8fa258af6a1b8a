package org.foxtailplank.entry.internal.idempotency;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.Header;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.Position;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.wire.CallerAnswer;
import org.foxtailplank.wire.ClaimsPosition;
import org.foxtailplank.wire.ClaimsPositionRequest;
import org.foxtailplank.wire.HeaderField;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkOptions;
import org.foxtailplank.wire.RequestHandover;
import org.foxtailplank.wire.RequestHandoverResult;

/** Calls other entries over the peer link, and serves their calls. */
public final class PeerLinkClaimPeers implements ClaimPeers {

    private static final Duration POSITION_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CONNECT_POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MESSAGE_OVERHEAD = 16 << 10;
    private static final String OWNER = "Foxtail-Key-Owner";
    private static final String TEAM = "Foxtail-Team";
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String RETRY_AFTER = "Retry-After";

    private final PeerLink mLink;
    private final int mPeerCount;
    private final long mConnectDeadline;

    private PeerLinkClaimPeers(PeerLink link, int peerCount, Duration connectTime) {
        mLink = link;
        mPeerCount = peerCount;
        mConnectDeadline = System.nanoTime() + connectTime.toNanos();
    }

    /** Creates the peers of a link that has just started. */
    public static PeerLinkClaimPeers of(PeerLink link, Settings settings) {
        return new PeerLinkClaimPeers(
                link, settings.nodes().size() - 1, settings.peers().silence());
    }

    /** Returns options of a link for requests and answers of the maximum allowed size. */
    public static PeerLinkOptions options(
            NodeId node, Settings settings, Incarnation incarnation, Set<NodeRole> roles) {
        long largest =
                settings.limits().maxBodyBytes()
                        + settings.limits().maxHeaderBytes()
                        + MESSAGE_OVERHEAD;
        return PeerLinkOptions.of(
                        node, settings.nodes().get(node), settings.peers(), incarnation, roles)
                .withMinMessageLimit((int) largest);
    }

    /** Returns the claimant that identifies this process. */
    public Claimant self() {
        return new Claimant(mLink.self().node(), mLink.self().incarnation().value());
    }

    /** Starts to answer peers; {@code attempt} runs the requests that they hand over. */
    public void serve(
            ClaimingRequestHandler handler,
            Function<CallerRequest, CompletionStage<Answer>> attempt) {
        mLink.handle(
                ClaimsPositionRequest.class,
                (from, m) -> handler.position().thenApply(ClaimsPosition::new));
        mLink.handle(
                RequestHandover.class,
                (from, m) ->
                        handler.handedOver(request(m), owner(m), attempt)
                                .thenApply(a -> new RequestHandoverResult(encode(a))));
    }

    @Override
    public CompletionStage<Answer> handOver(CallerRequest request, Claimant owner) {
        Incarnation incarnation = new Incarnation(owner.incarnation());
        Optional<Member> member =
                mLink.member(owner.node()).filter(m -> m.incarnation().equals(incarnation));
        if (member.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new CompletionException("the owner " + owner + " is not connected", null));
        }
        Duration timeLeft = Duration.ofNanos(request.deadline() - System.nanoTime());
        return mLink.ask(owner.node(), encode(request, owner, timeLeft), timeLeft)
                .thenApply(m -> decode(((RequestHandoverResult) m).answer()));
    }

    @Override
    public CompletionStage<List<Position>> positions() {
        // Right after its start, the link has no members yet that could report lost records.
        boolean connected = mLink.members().size() >= mPeerCount;
        if (!connected && System.nanoTime() - mConnectDeadline < 0) {
            return CompletableFuture.supplyAsync(
                            () -> null,
                            CompletableFuture.delayedExecutor(
                                    CONNECT_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS))
                    .thenCompose(none -> positions());
        }
        List<CompletableFuture<Optional<Position>>> requests = new ArrayList<>();
        for (Member member : mLink.members()) {
            if (member.state().isReachable()
                    && member.identity().roles().contains(NodeRole.ENTRY)) {
                requests.add(ask(member).toCompletableFuture());
            }
        }
        return CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new))
                .thenApply(done -> requests.stream().flatMap(a -> a.join().stream()).toList());
    }

    private CompletionStage<Optional<Position>> ask(Member member) {
        return mLink.ask(member.node(), new ClaimsPositionRequest(), POSITION_TIMEOUT)
                .thenApply(m -> Optional.of(((ClaimsPosition) m).position()))
                .exceptionally(e -> Optional.empty());
    }

    private static RequestHandover encode(CallerRequest r, Claimant owner, Duration timeLeft) {
        List<HeaderField> fields = new ArrayList<>();
        fields.add(new HeaderField(OWNER, owner.node() + " " + owner.incarnation()));
        fields.add(new HeaderField(CallerRequest.KEY_HEADER, r.key().orElseThrow()));
        fields.add(new HeaderField(TEAM, r.team().map(TeamId::value).orElse("")));
        fields.add(new HeaderField(RequestClass.HEADER, r.requestClass().text()));
        fields.add(new HeaderField(CONTENT_TYPE, r.contentType()));
        r.headers().forEach(h -> fields.add(new HeaderField(h.name(), h.value())));
        return new RequestHandover(
                r.id(),
                r.service(),
                r.method(),
                r.target(),
                fields,
                ByteString.copyFrom(r.body()),
                timeLeft);
    }

    private static CallerRequest request(RequestHandover m) {
        List<HeaderField> fields = m.headers();
        String team = fields.get(2).value();
        long now = System.nanoTime();
        return new CallerRequest(
                m.requestId(),
                m.service(),
                m.method(),
                m.path(),
                RequestClass.parse(fields.get(3).value()).orElse(RequestClass.INTERACTIVE),
                team.isEmpty() ? Optional.empty() : Optional.of(TeamId.of(team)),
                now,
                now + m.deadline().toNanos(),
                false,
                Optional.of(fields.get(1).value()),
                fields.get(4).value(),
                fields.stream().skip(5).map(f -> new Header(f.name(), f.value())).toList(),
                m.body().toByteArray());
    }

    private static Claimant owner(RequestHandover m) {
        String text = m.headers().get(0).value();
        int space = text.lastIndexOf(' ');
        return new Claimant(
                NodeId.of(text.substring(0, space)), Long.parseLong(text.substring(space + 1)));
    }

    private static CallerAnswer encode(Answer a) {
        List<HeaderField> fields = new ArrayList<>();
        fields.add(new HeaderField(CONTENT_TYPE, a.contentType()));
        fields.add(new HeaderField(RETRY_AFTER, a.retryAfter().map(Duration::toString).orElse("")));
        a.headers().forEach(h -> fields.add(new HeaderField(h.name(), h.value())));
        return new CallerAnswer(a.outcome(), a.status(), fields, ByteString.copyFrom(a.body()));
    }

    private static Answer decode(CallerAnswer a) {
        String retryAfter = a.headers().get(1).value();
        return new Answer(
                a.status(),
                a.outcome(),
                retryAfter.isEmpty() ? Optional.empty() : Optional.of(Duration.parse(retryAfter)),
                a.headers().get(0).value(),
                a.headers().stream().skip(2).map(f -> new Header(f.name(), f.value())).toList(),
                a.body().toByteArray());
    }
}
