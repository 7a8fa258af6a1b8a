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
 * <p>The caller sees to it that it has no more requests in flight than its share of connections; a
 * connection counts until it is really closed, so the share holds while broken ones are replaced.
 */
public final class ConnectionPool {

    private final ClassicActorSystemProvider mSystem;
    private final BackendServer mServer;
    private final ConnectionLimits mLimits;
    private final ArrayDeque<Idle> mIdle = new ArrayDeque<>();
    private final ArrayDeque<CompletableFuture<Void>> mWaiting = new ArrayDeque<>();
    private int mOpen;
    private int mShare;
    private boolean mShut;

    /** Starts without connections. */
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

    /** Connections that are open or being opened. */
    public synchronized int open() {
        return mOpen;
    }

    /** Takes over another share; connections beyond it are closed as they become idle. */
    public synchronized void share(int share) {
        mShare = share;
    }

    /**
     * Sends a request and completes, never exceptionally, with what came of it.
     *
     * @param fresh whether a connection that has been idle must not be used: the instance may be
     *     closing it at this moment, and the request would be lost without an answer
     */
    public CompletionStage<AttemptResult> send(
            HttpRequest request, Duration timeout, boolean fresh) {
        long end = System.nanoTime() + timeout.toNanos();
        Idle idle = takeIdle(fresh);
        if (idle != null) {
            return exchange(idle.mConnection, request, end);
        }
        return openOne(timeout)
                .handle(
                        (c, e) ->
                                e == null
                                        ? exchange(c, request, end)
                                        : CompletableFuture.<AttemptResult>completedFuture(
                                                notConnected(e)))
                .thenCompose(r -> r);
    }

    /** Closes connections that have been idle for long, before the instance itself does. */
    public synchronized void trim() {
        mIdle.removeIf(
                i -> {
                    boolean stale = !i.usable(mLimits.maxIdle()) || mOpen > mShare;
                    if (stale) {
                        i.mConnection.close();
                    }
                    return stale;
                });
    }

    /** Closes idle connections now and the others when their request has ended. */
    public synchronized void shut() {
        mShut = true;
        mIdle.forEach(i -> i.mConnection.close());
        mIdle.clear();
    }

    private CompletionStage<AttemptResult> exchange(
            BackendConnection c, HttpRequest request, long end) {
        long left = end - System.nanoTime();
        if (left <= 0) {
            release(c);
            return CompletableFuture.completedFuture(
                    new AttemptResult.NotSent(
                            "no time was left once there was a connection", false));
        }
        return c.send(request, Duration.ofNanos(left))
                .thenApply(
                        r -> {
                            release(c);
                            return r;
                        });
    }

    private synchronized Idle takeIdle(boolean fresh) {
        if (fresh) {
            return null;
        }
        Idle idle = mIdle.pollLast();
        while (idle != null && !idle.usable(mLimits.maxIdle())) {
            idle.mConnection.close();
            idle = mIdle.pollLast();
        }
        return idle;
    }

    private synchronized void release(BackendConnection c) {
        if (c.reusable() && !mShut && mOpen <= mShare) {
            mIdle.addLast(new Idle(c));
        } else {
            c.close();
        }
    }

    private CompletionStage<BackendConnection> openOne(Duration timeout) {
        return reserve(timeout)
                .thenCompose(
                        v ->
                                BackendConnection.open(mSystem, mServer, mLimits)
                                        .whenComplete((c, e) -> forgetWhenClosed(c, e)));
    }

    private void forgetWhenClosed(BackendConnection c, Throwable e) {
        if (e == null) {
            c.closed().thenRun(this::forget);
        } else {
            forget();
        }
    }

    private synchronized CompletionStage<Void> reserve(Duration timeout) {
        if (mOpen < mShare) {
            mOpen++;
            return CompletableFuture.completedFuture(null);
        }
        Idle idle = mIdle.pollFirst();
        if (idle != null) {
            idle.mConnection.close();
        }
        CompletableFuture<Void> place = new CompletableFuture<>();
        mWaiting.add(place);
        return place.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void forget() {
        CompletableFuture<Void> next;
        synchronized (this) {
            mIdle.removeIf(i -> !i.mConnection.reusable());
            next = mWaiting.poll();
            if (next == null) {
                mOpen--;
            }
        }
        // A place that timed out while it waited goes to the one after it.
        if (next != null && !next.complete(null)) {
            forget();
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

    /** A kept connection and since when it is idle. */
    private static final class Idle {
        private final BackendConnection mConnection;
        private final long mSince = System.nanoTime();

        Idle(BackendConnection connection) {
            mConnection = connection;
        }

        boolean usable(Duration maxIdle) {
            Duration max =
                    mConnection
                            .keepAlive()
                            .map(k -> k.dividedBy(2))
                            .filter(k -> k.compareTo(maxIdle) < 0)
                            .orElse(maxIdle);
            return mConnection.reusable() && System.nanoTime() - mSince < max.toNanos();
        }
    }
}
