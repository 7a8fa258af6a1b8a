package org.foxtailplank.standin.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.event.NoLogging;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/** An HTTP server that may close a connection instead of answering. */
public final class StandinServer implements AutoCloseable {

    private static final long MAX_BODY_BYTES = 8L << 20;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(10);
    private static final int PIPELINING = 16;
    private static final int BAD_REQUEST = 400;

    private final ActorSystem mSystem;
    private final Materializer mMaterializer;
    private final ServerSettings mSettings;
    private final int mMaxConnections;
    private final Handler mHandler;
    private final AtomicInteger mConnections = new AtomicInteger();
    private final SharedKillSwitch mKill = KillSwitches.shared("stand-in");
    private Tcp.ServerBinding mBinding;

    private StandinServer(ClassicActorSystemProvider system, int maxConnections, Handler handler) {
        mSystem = system.classicSystem();
        mMaterializer = SystemMaterializer.get(system).materializer();
        mSettings = ServerSettings.create(mSystem).withPipeliningLimit(PIPELINING);
        mMaxConnections = maxConnections;
        mHandler = handler;
    }

    /** Starts a server; port 0 lets the system choose. */
    public static StandinServer start(
            ClassicActorSystemProvider system,
            InetSocketAddress address,
            int maxConnections,
            Handler handler)
            throws IOException {
        StandinServer server = new StandinServer(system, maxConnections, handler);
        server.bind(address);
        return server;
    }

    private void bind(InetSocketAddress address) throws IOException {
        CompletionStage<Tcp.ServerBinding> binding =
                Tcp.get(mSystem)
                        .bind(address.getHostString(), address.getPort())
                        .to(Sink.foreach(this::accept))
                        .run(mMaterializer);
        try {
            mBinding =
                    binding.toCompletableFuture()
                            .get(BIND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the stand-in can't listen on " + address + ": " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding", e);
        }
    }

    /** The address it listens on. */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /** Connections that are open. */
    public int connections() {
        return mConnections.get();
    }

    /** Closes all connections at once, whatever is in flight on them. */
    @Override
    public void close() {
        mBinding.unbind();
        mKill.abort(Connection.CUT);
    }

    private void accept(Tcp.IncomingConnection incoming) {
        if (mConnections.incrementAndGet() > mMaxConnections) {
            mConnections.decrementAndGet();
            incoming.handleWith(
                    Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), mMaterializer);
            return;
        }
        Connection connection = new Connection();
        Flow<HttpRequest, HttpResponse, NotUsed> handling =
                Flow.of(HttpRequest.class)
                        .mapAsync(PIPELINING, r -> answer(r, connection))
                        .takeWhile(r -> !r.close(), true)
                        .map(Reply::response);
        Flow<ByteString, ByteString, ?> bytes =
                Flow.of(ByteString.class)
                        .via(mKill.flow())
                        .via(connection.killSwitch().flow())
                        .via(incoming.flow())
                        .watchTermination(this::ended);
        Flow<TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, ?> plain =
                TLSPlacebo.getInstance().join(bytes).map(b -> b);
        Http.get(mSystem)
                .serverLayer(mSettings, Optional.empty(), NoLogging.getInstance())
                .join(plain)
                .join(handling)
                .run(mMaterializer);
    }

    private <M> M ended(M value, CompletionStage<Done> done) {
        done.whenComplete((d, e) -> mConnections.decrementAndGet());
        return value;
    }

    private CompletionStage<Reply> answer(HttpRequest http, Connection connection) {
        return http.entity()
                .toStrict(BODY_TIMEOUT.toMillis(), MAX_BODY_BYTES, mSystem)
                .thenApply(HttpEntity.Strict::getData)
                .thenCompose(d -> handled(Request.of(http, d.toArray(), connection)));
    }

    private CompletionStage<Reply> handled(Request request) {
        try {
            return mHandler.handle(request).exceptionally(StandinServer::badRequest);
        } catch (IOException | IllegalArgumentException e) {
            return CompletableFuture.completedFuture(badRequest(e));
        }
    }

    private static Reply badRequest(Throwable e) {
        Throwable cause = e instanceof CompletionException ? e.getCause() : e;
        return Reply.error(BAD_REQUEST, String.valueOf(cause.getMessage()));
    }
}
