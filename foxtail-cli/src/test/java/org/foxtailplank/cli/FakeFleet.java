package org.foxtailplank.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.HttpListener;
import org.foxtailplank.process.JsonRoutes;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.settings.ConfigurationCheck;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Publication;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.wire.RecordCodec;

/** A node's configuration API and the platform's log over the real fold, on real sockets. */
final class FakeFleet implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final PekkoRuntime mRuntime = PekkoRuntime.start("fake-fleet", 2);
    private final FleetState mState = new FleetState();
    private final List<byte[]> mLog = new ArrayList<>();
    private final HttpListener mListener;
    private boolean mLoseNext;
    private Runnable mBeforePublish = () -> {};
    private Optional<NodeRow> mOtherNode = Optional.empty();

    record Draft(long version, String base, Map<String, String> overlays, String who, String why) {}

    record NodeRow(String id, String zone, String admin) {}

    record Items(List<NodeRow> items) {}

    record Entry(long offset, String id, String data) {}

    record Entries(long oldest, long end, List<Entry> records) {}

    record Refusal(Detail error, Object current) {}

    record Detail(String code, String what, String why, String todo) {}

    FakeFleet() throws ProcessException {
        mListener = HttpListener.bind(mRuntime, ANY_PORT, routes());
    }

    String address() {
        return "127.0.0.1:" + mListener.address().getPort();
    }

    /** Runs before each publication is taken, as a race with another operator would. */
    void beforePublish(Runnable action) {
        mBeforePublish = action;
    }

    /** Says of the next publication that its outcome is unknown, though it takes effect. */
    void loseNextAnswer() {
        mLoseNext = true;
    }

    /** Adds a second node, which stays as it is. */
    void addNode(String id, String address) {
        mOtherNode = Optional.of(new NodeRow(id, "sofia-2", address));
    }

    synchronized Optional<Configuration> inForce() {
        return mState.configuration();
    }

    synchronized int published() {
        return mLog.size();
    }

    synchronized Verdict publish(Draft p) {
        Map<ZoneId, String> overlays = byZone(p.overlays());
        FleetTopology shape = ConfigurationCheck.of(p.base(), overlays).shape().orElseThrow();
        ChangeAuthor author = new ChangeAuthor(p.who(), p.why());
        return append(
                p.version(),
                new Publication(p.base(), overlays, shape, author).toChange(mState, p.version()));
    }

    private Verdict append(long from, Change change) {
        LogRecord record =
                new LogRecord(
                        RecordId.of("r" + mLog.size()),
                        NodeId.of("n"),
                        Optional.empty(),
                        Map.of(ObjectKey.configuration(), from),
                        change,
                        mState.basis());
        mLog.add(RecordCodec.encode(record));
        return mState.apply(mLog.size(), record);
    }

    private static Map<ZoneId, String> byZone(Map<String, String> texts) {
        Map<ZoneId, String> zones = new HashMap<>();
        texts.forEach((site, text) -> zones.put(ZoneId.of(site), text));
        return zones;
    }

    private Route routes() {
        return Directives.concat(
                Directives.path(
                        PathMatchers.segment("v1").slash("config"),
                        () ->
                                Directives.concat(
                                        Directives.get(this::get), Directives.put(this::put))),
                Directives.path(
                        PathMatchers.segment("v1").slash("nodes"),
                        () -> JsonRoutes.ok(new Items(nodes()))),
                Directives.path(
                        PathMatchers.segment("v1").slash("streams").slash("fleet").slash("records"),
                        () -> Directives.parameter("from", from -> read(Long.parseLong(from)))));
    }

    private Route get() {
        return JsonRoutes.ok(view(inForce().orElseThrow()));
    }

    private Route put() {
        return JsonRoutes.body(
                Draft.class,
                p -> {
                    mBeforePublish.run();
                    Verdict verdict = publish(p);
                    if (mLoseNext) {
                        mLoseNext = false;
                        return Directives.complete(JsonRoutes.answer(503, refusal("unknown")));
                    }
                    return Directives.complete(
                            verdict instanceof Verdict.Void
                                    ? JsonRoutes.answer(409, refusal("stale-version"))
                                    : JsonRoutes.answer(200, view(inForce().orElseThrow())));
                });
    }

    private Refusal refusal(String code) {
        Detail detail = new Detail(code, "It happened.", "For a reason.", "Do something.");
        return new Refusal(detail, view(inForce().orElseThrow()));
    }

    private static Draft view(Configuration c) {
        Map<String, String> overlays = new HashMap<>();
        c.overlays().forEach((zone, text) -> overlays.put(zone.value(), text));
        return new Draft(c.version(), c.base(), overlays, c.author().who(), c.author().why());
    }

    private List<NodeRow> nodes() {
        List<NodeRow> nodes = new ArrayList<>();
        nodes.add(new NodeRow("sofia-1-e1", "sofia-1", address()));
        mOtherNode.ifPresent(nodes::add);
        return nodes;
    }

    private synchronized Route read(long from) {
        List<Entry> entries = new ArrayList<>();
        if (from <= mLog.size()) {
            String data = Base64.getEncoder().encodeToString(mLog.get((int) from - 1));
            entries.add(new Entry(from, "r" + from, data));
        }
        return JsonRoutes.ok(new Entries(1, mLog.size() + 1L, entries));
    }

    @Override
    public void close() {
        mRuntime.close();
    }
}
