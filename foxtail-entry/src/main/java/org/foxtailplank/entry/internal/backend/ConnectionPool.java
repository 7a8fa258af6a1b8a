package org.foxtailplank.entry.internal.backend;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.request.BackendServer;

/**
 * The entry's connections to one instance.
 *
 * <p>The pool's user must not have more requests in flight than the share of connections. A
 * connection counts until it is closed, so the share is not exceeded while broken connections are
 * replaced.
 */
public final class ConnectionPool {

    private final ClassicActorSystemProvider mSystem;
    private final BackendServer mServer;
    private final ConnectionLimits mLimits;
    private final ArrayDeque<IdleConnection> mIdle = new ArrayDeque<>();
    private final ArrayDeque<CompletableFuture<Void>> mWaiting = new ArrayDeque<>();
    private int mOpenCount;
    private int mShare;
    private boolean mShutDown;

    /** Creates an empty pool. */
    public ConnectionPool(
            ClassicActorSystemProvider system,
            BackendServer server,
            ConnectionLimits limits,
            int share) {
        mSystem = system;
        mServer = server;
        mLimits = limits;
        mShare = share;
    }

    /** Returns the number of connections that are open or being opened. */
    public synchronized int open() {
        return mOpenCount;
    }

    /** Sets the share of connections; connections beyond it are closed when they become idle. */
    public synchronized void setShare(int share) {
        mShare = share;
    }

    /**
     * Sends a request; completes with its result, never exceptionally.
     *
     * @param requireNew whether a new connection is required: the instance may be closing an idle
     *     one, and the outcome of the request would be unknown
     */
    public CompletionStage<AttemptResult> send(
            HttpRequest request, Duration timeout, boolean requireNew) {
        long end = System.nanoTime() + timeout.toNanos();
        IdleConnection idle = takeIdle(requireNew);
        if (idle != null) {
            return exchange(idle.mConnection, request, end);
        }
        return openConnection(timeout)
                .handle(
                        (connection, e) ->
                                e == null
                                        ? exchange(connection, request, end)
                                        : CompletableFuture.<AttemptResult>completedFuture(
                                                notConnected(e)))
                .thenCompose(r -> r);
    }

    /** Closes connections that have been idle for too long, before the instance closes them. */
    public synchronized void closeIdle() {
        mIdle.removeIf(
                i -> {
                    boolean stale = !i.usable(mLimits.maxIdle()) || mOpenCount > mShare;
                    if (stale) {
                        i.mConnection.close();
                    }
                    return stale;
                });
    }

    /** Closes idle connections now and busy ones when their requests have ended. */
    public synchronized void shutDown() {
        mShutDown = true;
        mIdle.forEach(i -> i.mConnection.close());
        mIdle.clear();
    }

    private CompletionStage<AttemptResult> exchange(
            BackendConnection connection, HttpRequest request, long end) {
        long left = end - System.nanoTime();
        if (left <= 0) {
            release(connection);
            return CompletableFuture.completedFuture(
                    new AttemptResult.NotSent(
                            "no time was left once there was a connection", false));
        }
        return connection
                .send(request, Duration.ofNanos(left))
                .thenApply(
                        r -> {
                            release(connection);
                            return r;
                        });
    }

    private synchronized IdleConnection takeIdle(boolean requireNew) {
        if (requireNew) {
            return null;
        }
        IdleConnection idle = mIdle.pollLast();
        while (idle != null && !idle.usable(mLimits.maxIdle())) {
            idle.mConnection.close();
            idle = mIdle.pollLast();
        }
        return idle;
    }

    private synchronized void release(BackendConnection connection) {
        if (connection.reusable() && !mShutDown && mOpenCount <= mShare) {
            mIdle.addLast(new IdleConnection(connection));
        } else {
            connection.close();
        }
    }

    private CompletionStage<BackendConnection> openConnection(Duration timeout) {
        return reserve(timeout)
                .thenCompose(
                        v ->
                                BackendConnection.open(mSystem, mServer, mLimits)
                                        .whenComplete(
                                                (connection, e) -> trackClose(connection, e)));
    }

    private void trackClose(BackendConnection connection, Throwable e) {
        if (e == null) {
            connection.closed().thenRun(this::connectionClosed);
        } else {
            connectionClosed();
        }
    }

    private synchronized CompletionStage<Void> reserve(Duration timeout) {
        if (mOpenCount < mShare) {
            mOpenCount++;
            return CompletableFuture.completedFuture(null);
        }
        IdleConnection idle = mIdle.pollFirst();
        if (idle != null) {
            idle.mConnection.close();
        }
        CompletableFuture<Void> reservation = new CompletableFuture<>();
        mWaiting.add(reservation);
        return reservation.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void connectionClosed() {
        CompletableFuture<Void> next;
        synchronized (this) {
            mIdle.removeIf(i -> !i.mConnection.reusable());
            next = mWaiting.poll();
            if (next == null) {
                mOpenCount--;
            }
        }
        // If the waiting reservation has timed out, the next one gets the connection.
        if (next != null && !next.complete(null)) {
            connectionClosed();
        }
    }

    private static AttemptResult notConnected(Throwable e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof TimeoutException) {
            return new AttemptResult.NotSent("no connection became free in time", false);
        }
        boolean refused = cause instanceof ConnectException;
        return new AttemptResult.NotSent("no connection: " + cause.getMessage(), refused);
    }

    /** An idle connection. */
    private static final class IdleConnection {
        private final BackendConnection mConnection;
        private final long mIdleSince = System.nanoTime();

        IdleConnection(BackendConnection connection) {
            mConnection = connection;
        }

        boolean usable(Duration maxIdle) {
            Duration max =
                    mConnection
                            .keepAlive()
                            .map(k -> k.dividedBy(2))
                            .filter(k -> k.compareTo(maxIdle) < 0)
                            .orElse(maxIdle);
            return mConnection.reusable() && System.nanoTime() - mIdleSince < max.toNanos();
        }
    }
}
