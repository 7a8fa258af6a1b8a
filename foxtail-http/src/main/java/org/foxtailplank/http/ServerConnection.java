package org.foxtailplank.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Server side of a connection; pipelined requests are answered in order.
 *
 * <p>While requests wait for an earlier one, few more are read, and a body over {@link #SMALL_BODY}
 * is read once there is memory for it, so that callers can't fill the memory of the node. No
 * request is handled while answers aren't read. The connection of a request that isn't finished in
 * time is closed without an answer, as it is unknown whether another copy of it was accepted.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Size up to which a body needs no place in {@link BodyMemory}, in bytes. */
    private static final int SMALL_BODY = 16 << 10;

    /** Requests that may wait for an earlier one, and their bytes. */
    private static final int MAX_WAITING = 16;

    private static final int MAX_WAITING_BYTES = SMALL_BODY;

    /** How much of a rejected request is read, so that the caller sees the answer; in bytes. */
    private static final long MAX_DISCARDED = 1 << 20;

    private static final long MAX_DISCARDING_MS = 2000;

    /** Time without progress after which a large body gives way to one that waits. */
    private static final long STALLED_MS = 500;

    /** Slowest progress of a large body while another one waits, in bytes per millisecond. */
    private static final long MIN_BYTES_PER_MS = 16;

    private static final long MIN_RATE_AFTER_MS = 2000;

    private final HttpServer mServer;
    private final HttpHandler mHandler;
    private final RequestDecoder mDecoder;
    private final BodyMemory mMemory;
    private final Deque<ReadRequest> mWaiting = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private boolean mBusy;
    private boolean mHandlingWaiting;
    private boolean mClosing;
    private boolean mClosed;
    private long mLastAnswerMs = TargetPool.nowMs();
    private int mWaitingBytes;

    private io.netty.handler.codec.http.HttpRequest mHead;
    private RequestBody mBody;
    private boolean mContinueExpected;
    private int mPlace;
    private BodyMemory.Waiter mPlaceWaiter;
    private boolean mReading = true;

    private boolean mUnfinished;
    private long mUnfinishedSinceMs;
    private long mPlaceSinceMs;
    private long mReceivedBeforePlace;
    private long mProgressMs;
    private long mProgressBytes;

    /**
     * A request with the size of its place in {@link BodyMemory}, or the status with which it is
     * rejected.
     */
    private record ReadRequest(
            HttpRequest request, boolean keepAlive, int place, int bytes, int rejection) {}

    ServerConnection(HttpServer server, HttpHandler handler, RequestDecoder decoder) {
        mServer = server;
        mHandler = handler;
        mDecoder = decoder;
        mMemory = server.memory();
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
        if (message instanceof io.netty.handler.codec.http.HttpRequest head) {
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
        long announced = HttpUtil.getContentLength(head, 0L);
        mBody = new RequestBody((int) announced, mServer.limits().maxBodyBytes());
        if (announced > SMALL_BODY) {
            takePlace((int) announced);
        }
        if (mContinueExpected) {
            continueBody();
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
        if (part instanceof LastHttpContent) {
            complete();
        } else if (size > SMALL_BODY && mPlace == 0 && mPlaceWaiter == null) {
            takePlace(mServer.limits().maxBodyBytes());
        }
    }

    private void takePlace(int bytes) throws Exception {
        if (mMemory.take(bytes)) {
            placeTaken(bytes);
        } else {
            mPlaceWaiter = mMemory.takeLater(bytes, () -> placeGranted(bytes));
            updateReading();
        }
    }

    private void placeTaken(int bytes) {
        mPlace = bytes;
        mPlaceSinceMs = TargetPool.nowMs();
        mReceivedBeforePlace = mDecoder.received();
        mProgressMs = mPlaceSinceMs;
    }

    /** Reads on later, since a body that is handled at once passes its place on. */
    private void placeGranted(int bytes) {
        mPlaceWaiter = null;
        placeTaken(bytes);
        mContext.executor()
                .execute(
                        () -> {
                            try {
                                continueBody();
                                updateReading();
                            } catch (Exception e) {
                                exceptionCaught(mContext, e);
                            }
                        });
    }

    /** Invites a body that the caller holds back, unless another answer comes first. */
    private void continueBody() {
        boolean first = !mBusy && mWaiting.isEmpty() && mPlaceWaiter == null;
        if (mContinueExpected && mHead != null && first) {
            mContinueExpected = false;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void complete() throws Exception {
        byte[] body = mBody.toBytes();
        HttpRequest request = RequestHeads.decode(mHead, body);
        boolean keepAlive = HttpUtil.isKeepAlive(mHead);
        int place = mPlace;
        int bytes = mBusy || !isWritable() ? RequestHeads.memory(mHead) + body.length : 0;
        mPlace = 0;
        mHead = null;
        mBody = null;
        finished();
        enqueue(new ReadRequest(request, keepAlive, place, bytes, 0));
    }

    private void reject(HttpResponseStatus status) throws Exception {
        mHead = null;
        mBody = null;
        releasePlace();
        finished();
        mDecoder.discard();
        enqueue(new ReadRequest(null, false, 0, 0, status.code()));
    }

    private void enqueue(ReadRequest request) throws Exception {
        mWaiting.add(request);
        mWaitingBytes += request.bytes();
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
                handle(mWaiting.poll());
            }
        } finally {
            mHandlingWaiting = false;
        }
        if (mContinueExpected) {
            continueBody();
        }
        updateReading();
    }

    private void updateReading() throws Exception {
        if (mClosed) {
            return;
        }
        boolean full = mWaiting.size() >= MAX_WAITING || mWaitingBytes >= MAX_WAITING_BYTES;
        boolean read =
                mDecoder.isDiscarding() ? mClosing : !full && mPlaceWaiter == null && isWritable();
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
        finished();
        handleWaiting();
        watch();
    }

    private void handle(ReadRequest request) {
        mWaitingBytes -= request.bytes();
        mBusy = true;
        if (request.rejection() != 0) {
            respond(HttpReply.empty(request.rejection()), request);
        } else {
            mHandler.handle(request.request(), reply -> respond(reply, request));
        }
    }

    private void respond(HttpReply reply, ReadRequest request) {
        boolean head =
                request.request() != null
                        && request.request().method().equals(HttpMethod.HEAD.name());
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (!reply.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        }
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        boolean keep = request.keepAlive() && !(mServer.isStopping() && mWaiting.isEmpty());
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = mContext.writeAndFlush(response);
        mBusy = false;
        mLastAnswerMs = TargetPool.nowMs();
        if (request.place() > 0) {
            mMemory.release(request.place());
        }
        if (!keep) {
            mClosing = true;
            mUnfinishedSinceMs = mLastAnswerMs;
            mProgressBytes = mDecoder.received();
            written.addListener(request.rejection() != 0 ? linger() : ChannelFutureListener.CLOSE);
        }
        try {
            if (keep) {
                handleWaiting();
            } else if (mDecoder.isDiscarding()) {
                updateReading();
            }
        } catch (Exception e) {
            exceptionCaught(mContext, e);
        }
    }

    /** Ends the output only: a reset because of unread bytes would hide the answer. */
    private ChannelFutureListener linger() {
        return written -> {
            if (written.isSuccess() && written.channel() instanceof DuplexChannel channel) {
                channel.shutdownOutput();
            } else {
                written.channel().close();
            }
        };
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        watch();
        if (mDecoder.isDiscarding() && mDecoder.received() - mProgressBytes > MAX_DISCARDED) {
            context.close();
        }
    }

    /** Has the server check this connection while something remains unfinished on it. */
    private void watch() {
        if (mClosed) {
            return;
        }
        boolean unfinished =
                mDecoder.isDiscarding()
                        || mPlaceWaiter != null
                        || !isWritable()
                        || mReading && mDecoder.isStarted();
        if (unfinished && !mUnfinished) {
            mUnfinished = true;
            mUnfinishedSinceMs = TargetPool.nowMs();
            mProgressMs = mUnfinishedSinceMs;
            mProgressBytes = mDecoder.received();
            mServer.addUnfinished(this);
        } else if (!unfinished) {
            finished();
        }
    }

    private void finished() {
        if (mUnfinished) {
            mUnfinished = false;
            mServer.removeUnfinished(this);
        }
    }

    /** Closes the connection if it has been unfinished for too long. */
    void checkUnfinished(long nowMs) {
        boolean lingers = mDecoder.isDiscarding() && mClosing;
        long limitMs = lingers ? MAX_DISCARDING_MS : mServer.limits().requestMs();
        boolean slow = mMemory.isAwaited() && (isSlow(nowMs) || holdsUnanswered(nowMs));
        if (slow || nowMs - mUnfinishedSinceMs > limitMs) {
            abandon();
            mContext.close();
        }
    }

    /** Returns whether a body keeps its place, whole or in part, as earlier answers aren't read. */
    private boolean holdsUnanswered(long nowMs) {
        return !isWritable()
                && nowMs - mUnfinishedSinceMs > STALLED_MS
                && (mPlace > 0 || mWaiting.stream().anyMatch(r -> r.place() > 0));
    }

    /** Returns whether a body that is being read makes too little progress. */
    private boolean isSlow(long nowMs) {
        if (mPlace == 0 || !mReading) {
            return false;
        }
        if (mDecoder.received() != mProgressBytes) {
            mProgressBytes = mDecoder.received();
            mProgressMs = nowMs;
        }
        long heldMs = nowMs - mPlaceSinceMs;
        long received = mDecoder.received() - mReceivedBeforePlace;
        return nowMs - mProgressMs > STALLED_MS
                || heldMs > MIN_RATE_AFTER_MS && received < heldMs * MIN_BYTES_PER_MS;
    }

    private void releasePlace() {
        if (mPlaceWaiter != null) {
            mMemory.giveUp(mPlaceWaiter);
            mPlaceWaiter = null;
        }
        if (mPlace > 0) {
            int place = mPlace;
            mPlace = 0;
            mMemory.release(place);
        }
    }

    /** Gives up the requests that aren't being handled, and their memory. */
    private void abandon() {
        finished();
        mClosing = true;
        mClosed = true;
        mHead = null;
        mBody = null;
        releasePlace();
        for (ReadRequest r : mWaiting) {
            if (r.place() > 0) {
                mMemory.release(r.place());
            }
        }
        mWaiting.clear();
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
