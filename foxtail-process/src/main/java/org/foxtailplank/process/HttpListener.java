package org.foxtailplank.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.Route;

/** An HTTP server that listens. */
public final class HttpListener {
    private final ServerBinding mBinding;

    private HttpListener(ServerBinding binding) {
        mBinding = binding;
    }

    /** Listens on an address; port 0 lets the system choose. */
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

    /** The address, with the port that the system chose. */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /** Takes no more connections; those that are open go on. */
    public CompletionStage<Done> unbind() {
        return mBinding.unbind();
    }

    /** Takes no more connections, lets what is in flight finish, then closes them. */
    public CompletionStage<Done> drain(Duration limit) {
        return mBinding.terminate(limit).thenApply(t -> Done.getInstance());
    }
}
