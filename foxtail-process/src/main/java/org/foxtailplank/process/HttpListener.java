package org.foxtailplank.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.Route;

/** Pekko HTTP server bound to one address. */
public final class HttpListener {
    private final ServerBinding mBinding;

    private HttpListener(ServerBinding binding) {
        mBinding = binding;
    }

    /** Binds an address; port 0 selects a free port. */
    public static HttpListener bind(PekkoRuntime runtime, InetSocketAddress address, Route route)
            throws ProcessException {
        String host = address.getAddress().getHostAddress();
        try {
            return new HttpListener(
                    Http.get(runtime.system())
                            .newServerAt(host, address.getPort())
                            .bind(route)
                            .toCompletableFuture()
                            .join());
        } catch (CompletionException e) {
            Throwable cause =
                    e.getCause().getCause() == null ? e.getCause() : e.getCause().getCause();
            throw ProcessException.failed(
                    Messages.addressInUse(address, String.valueOf(cause.getMessage())), e);
        }
    }

    /** Returns the bound address, with the actual port. */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /** Stops accepting connections; open connections stay open. */
    public CompletionStage<Done> unbind() {
        return mBinding.unbind();
    }

    /** Stops accepting connections, completes requests in flight and closes all connections. */
    public CompletionStage<Done> drain(Duration limit) {
        return mBinding.terminate(limit).thenApply(t -> Done.getInstance());
    }
}
