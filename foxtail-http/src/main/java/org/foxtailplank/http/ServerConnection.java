package org.foxtailplank.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Server side of a connection; pipelined requests are answered in order.
 *
 * <p>While requests wait for an earlier one, few more are read, and a body over {@link #SMALL_BODY}
 * is read once there is memory for it, so that callers can't fill the memory of the node. No
 * request is handled while answers aren't read. The connection of a request that isn't finished in
 * time is closed without an answer: a rejection would tell a caller who has sent the request before
 * that it was never accepted.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Size up to which a body needs no place in {@link BodyMemory}, in bytes. */
    private static final int SMALL_BODY = 16 << 10;

    /** How much of a rejected request is read, so that the caller sees the answer; in bytes. */
    private static final long MAX_DISCARDED = 1 << 20;

    private static final long MAX_DISCARDING_MS = 2000;

    private final HttpServer mServer;
    private final HttpHandler mHandler;
    private final RequestDecoder mDecoder;
    private final BodyMemory mMemory;
    private final RequestQueue mWaiting = new RequestQueue(SMALL_BODY);
    private final BodyPlace mPlace;
    private ChannelHandlerContext mContext;
    private boolean mBusy;
    private boolean mHandlingWaiting;

    /** Whether the last answer has been written or waits to be sent; the rest is discarded. */
    private boolean mClosing;

    /** Whether a rejection has been sent, and the caller may still be sending. */
    private boolean mLingering;

    private boolean mClosed;
    private long mLastAnswerMs = MonotonicClock.nowMs();

    private io.netty.handler.codec.http.HttpRequest mHead;
    private RequestBody mBody;
    private int mAnnounced;

    /** Whether the caller holds the body back until it is invited. */
    private boolean mContinueExpected;

    private boolean mReading = true;

    private boolean mUnfinished;
    private long mUnfinishedSinceMs;

    /** Bytes received before the connection began to linger. */
    private long mReceivedBeforeLingering;

    ServerConnection(HttpServer server, HttpHandler handler, RequestDecoder decoder) {
        mServer = server;
        mHandler = handler;
        mDecoder = decoder;
        mMemory = server.memory();
        mPlace = new BodyPlace(mMemory, decoder::received);
    }

    boolean isBusy() {
        return mBusy;
    }

    boolean hasWaiting() {
        return !mWaiting.isEmpty();
    }

    /** Returns when the last request was answered, or the connection opened. */
    long lastAnswerMs() {
        return mLastAnswerMs;
    }

    void close() {
        mContext.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof io.netty.handler.codec.http.HttpRequest head && !mClosing) {
            begin(head);
        }
        if (message instanceof HttpContent part) {
            try {
                append(part);
            } finally {
                part.release();
            }
        }
    }

    private void begin(io.netty.handler.codec.http.HttpRequest head) throws Exception {
        Optional<HttpResponseStatus> rejection =
                RequestHeads.rejection(head, mServer.limits().maxBodyBytes());
        mContinueExpected = rejection.isEmpty() && HttpUtil.is100ContinueExpected(head);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        mHead = head;
        mAnnounced = (int) HttpUtil.getContentLength(head, 0L);
        mBody = new RequestBody(mAnnounced, mServer.limits().maxBodyBytes());
        if (mContinueExpected) {
            inviteBody();
        } else if (mAnnounced > SMALL_BODY) {
            takePlace(mAnnounced);
        }
    }

    private void append(HttpContent part) throws Exception {
        if (mHead == null) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            reject(RequestHeads.malformed(part.decoderResult().cause()));
            return;
        }
        int size = mBody.size() + part.content().readableBytes();
        if (size > mServer.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        mBody.append(part.content());
        mContinueExpected &= size == 0;
        if (part instanceof LastHttpContent) {
            complete();
        } else if (size > SMALL_BODY && !mPlace.isTaken() && !mPlace.isAwaited()) {
            takePlace(mServer.limits().maxBodyBytes());
        }
    }

    private void takePlace(int bytes) throws Exception {
        mPlace.take(bytes, this::placeGranted);
        updateReading();
    }

    /** Reads on later, since a body that is handled at once passes its place on. */
    private void placeGranted() {
        mContext.executor()
                .execute(
                        () -> {
                            try {
                                inviteBody();
                                updateReading();
                            } catch (Exception e) {
                                exceptionCaught(mContext, e);
                            }
                        });
    }

    /** Invites a body that the caller holds back, once no other answer comes first. */
    private void inviteBody() throws Exception {
        if (!mContinueExpected || mBusy || !mWaiting.isEmpty() || mPlace.isAwaited()) {
            return;
        }
        if (mAnnounced > SMALL_BODY && !mPlace.isTaken()) {
            takePlace(mAnnounced);
        }
        if (!mPlace.isAwaited()) {
            mContinueExpected = false;
            mContext.writeAndFlush(Responses.invitation());
            watch();
        }
    }

    private void complete() throws Exception {
        byte[] body = mBody.toBytes();
        HttpRequest request = RequestHeads.decode(mHead, body);
        boolean keepAlive = HttpUtil.isKeepAlive(mHead);
        int waitingBytes = mBusy || !isWritable() ? RequestHeads.memory(mHead) + body.length : 0;
        mContinueExpected = false;
        mHead = null;
        mBody = null;
        stopWatching();
        enqueue(ReceivedRequest.accepted(request, keepAlive, mPlace.handOver(), waitingBytes));
    }

    private void reject(HttpResponseStatus status) throws Exception {
        mContinueExpected = false;
        mHead = null;
        mBody = null;
        mPlace.release();
        stopWatching();
        mDecoder.discard();
        enqueue(ReceivedRequest.rejected(status));
    }

    private void enqueue(ReceivedRequest request) throws Exception {
        mWaiting.add(request);
        handleWaiting();
    }

    /**
     * Handles requests until one isn't answered at once. Answers to requests that are handled here
     * don't start another loop, whose depth would grow with the number of requests.
     */
    private void handleWaiting() throws Exception {
        if (mHandlingWaiting) {
            return;
        }
        mHandlingWaiting = true;
        try {
            while (!mBusy && !mClosing && !mWaiting.isEmpty() && isWritable()) {
                handle(mWaiting.remove());
            }
        } finally {
            mHandlingWaiting = false;
        }
        inviteBody();
        updateReading();
    }

    private void updateReading() throws Exception {
        if (mClosed) {
            return;
        }
        boolean read =
                mDecoder.isDiscarding()
                        ? mClosing
                        : !mWaiting.isFull() && !mPlace.isAwaited() && isWritable();
        if (read == mReading) {
            return;
        }
        mReading = read;
        mContext.channel().config().setAutoRead(read);
        if (read) {
            mDecoder.resume();
        } else {
            mDecoder.pause();
        }
        watch();
    }

    private boolean isWritable() {
        return mContext.channel().isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        stopWatching();
        handleWaiting();
        watch();
    }

    private void handle(ReceivedRequest request) {
        mBusy = true;
        request.rejection().ifPresent(r -> respond(HttpReply.empty(r.code()), request));
        request.request().ifPresent(r -> mHandler.handle(r, reply -> respond(reply, request)));
    }

    private void respond(HttpReply reply, ReceivedRequest request) {
        boolean keep = request.keepAlive() && !(mServer.isStopping() && mWaiting.isEmpty());
        ChannelFuture written =
                mContext.writeAndFlush(Responses.of(reply, !request.isHead(), keep));
        mBusy = false;
        mLastAnswerMs = MonotonicClock.nowMs();
        if (request.place() > 0) {
            mMemory.release(request.place());
        }
        try {
            if (keep) {
                handleWaiting();
            } else {
                mClosing = true;
                dropUnhandled();
                mDecoder.discard();
                updateReading();
                watch();
                written.addListener(
                        request.rejection().isPresent() ? linger() : ChannelFutureListener.CLOSE);
            }
        } catch (Exception e) {
            exceptionCaught(mContext, e);
        }
    }

    /** Ends the output only: a reset because of unread bytes would hide the answer. */
    private ChannelFutureListener linger() {
        return written -> {
            if (written.isSuccess() && written.channel() instanceof DuplexChannel channel) {
                mLingering = true;
                mUnfinishedSinceMs = MonotonicClock.nowMs();
                mReceivedBeforeLingering = mDecoder.received();
                channel.shutdownOutput();
            } else {
                written.channel().close();
            }
        };
    }

    /** Gives up the requests that aren't being handled, and their memory. */
    private void dropUnhandled() {
        mHead = null;
        mBody = null;
        mContinueExpected = false;
        mPlace.release();
        mWaiting.clear(mMemory);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        watch();
        long discarded = mDecoder.received() - mReceivedBeforeLingering;
        if (mLingering && discarded > MAX_DISCARDED) {
            context.close();
        }
    }

    /** Has the server check this connection while something remains unfinished on it. */
    private void watch() {
        if (mClosed) {
            return;
        }
        boolean unfinished =
                mClosing
                        || mPlace.isAwaited()
                        || !isWritable()
                        || mReading && mDecoder.isStarted() && !mContinueExpected;
        if (unfinished && !mUnfinished) {
            mUnfinished = true;
            mUnfinishedSinceMs = MonotonicClock.nowMs();
            mPlace.restartProgress(mUnfinishedSinceMs);
            mServer.addUnfinished(this);
        } else if (!unfinished) {
            stopWatching();
        }
    }

    private void stopWatching() {
        if (mUnfinished) {
            mUnfinished = false;
            mServer.removeUnfinished(this);
        }
    }

    /** Closes the connection if it has been unfinished for too long. */
    void checkUnfinished(long nowMs) {
        long limitMs = mLingering ? MAX_DISCARDING_MS : mServer.limits().requestMs();
        boolean givesWay =
                mMemory.isAwaited() && (mReading && mPlace.isSlow(nowMs) || holdsUnanswered(nowMs));
        if (givesWay || nowMs - mUnfinishedSinceMs > limitMs) {
            abandon();
            mContext.close();
        }
    }

    /** Returns whether a body keeps its place, whole or in part, as earlier answers aren't read. */
    private boolean holdsUnanswered(long nowMs) {
        return !isWritable()
                && BodyPlace.isStalled(nowMs - mUnfinishedSinceMs)
                && (mPlace.isTaken() || mWaiting.holdsPlace());
    }

    private void abandon() {
        stopWatching();
        mClosing = true;
        mClosed = true;
        dropUnhandled();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        abandon();
        mServer.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        UncaughtErrors.report(cause);
        context.close();
    }
}
