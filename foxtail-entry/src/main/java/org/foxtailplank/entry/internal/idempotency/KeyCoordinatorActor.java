package org.foxtailplank.entry.internal.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.internal.idempotency.Action;
import org.foxtailplank.internal.idempotency.Fingerprint;
import org.foxtailplank.internal.idempotency.IssuedKey;
import org.foxtailplank.internal.idempotency.KeyCoordinator;
import org.foxtailplank.internal.idempotency.KeyIssuer;
import org.foxtailplank.internal.idempotency.KeyedRequest;
import org.foxtailplank.internal.idempotency.Refusal;
import org.foxtailplank.internal.idempotency.RequestKey;
import org.foxtailplank.process.Log;

/** Actor that runs the {@link KeyCoordinator} and performs its actions. */
final class KeyCoordinatorActor extends AbstractBehavior<KeyMessage> {

    private static final Log LOG = Log.of("keys");
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration LONG_POLL_TIME = Duration.ofSeconds(1);
    private static final Duration MAX_PAGE_AGE = Duration.ofSeconds(3);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(20);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);
    private static final String NO_TEAM = "-";

    private final KeyCoordinator mCoordinator;
    private final KeyIssuer mIssuer;
    private final ClaimsStream mStream;
    private final ClaimPeers mPeers;
    private final KeyOptions mOptions;
    private final KeyMetrics mMetrics;
    private final MonotonicWallClock mClock;
    private final RandomGenerator mRandom;
    private final TimerScheduler<KeyMessage> mTimers;
    private final ActorRef<KeyMessage> mSelf;
    private final Map<Long, KeyMessage.Call> mCalls = new HashMap<>();
    private Optional<Refusal> mLastRefusal = Optional.of(Refusal.STARTING);
    private Instant mNextFlush = Instant.MIN;
    private Duration mRetryDelay = MIN_RETRY_DELAY;
    private long mNextToken;

    private KeyCoordinatorActor(
            ActorContext<KeyMessage> context, TimerScheduler<KeyMessage> timers, KeyParts parts) {
        super(context);
        mCoordinator =
                new KeyCoordinator(
                        parts.self(), parts.options().limits(), parts.options().newDeployment());
        mIssuer = parts.issuer();
        mStream = new ClaimsStream(parts.log());
        mPeers = parts.peers();
        mOptions = parts.options();
        mMetrics = parts.metrics();
        mClock = parts.clock();
        mRandom = RandomGenerator.getDefault();
        mTimers = timers;
        mSelf = context.getSelf();
        timers.startTimerWithFixedDelay(KeyMessage.Tick.INSTANCE, TICK_INTERVAL);
        mSelf.tell(KeyMessage.ReadDue.INSTANCE);
    }

    static Behavior<KeyMessage> create(KeyParts parts) {
        return Behaviors.setup(
                context ->
                        Behaviors.withTimers(
                                timers -> new KeyCoordinatorActor(context, timers, parts)));
    }

    @Override
    public Receive<KeyMessage> createReceive() {
        return newReceiveBuilder()
                .onMessage(KeyMessage.Submitted.class, m -> runAndFlush(() -> submitted(m.call())))
                .onMessage(KeyMessage.HandedOver.class, m -> runAndFlush(() -> handedOver(m)))
                .onMessage(KeyMessage.RunCompleted.class, m -> runAndFlush(() -> runCompleted(m)))
                .onMessage(
                        KeyMessage.Appended.class,
                        m -> runAndFlush(() -> mCoordinator.appendSucceeded(m.id())))
                .onMessage(KeyMessage.AppendFailed.class, m -> runAndFlush(() -> appendFailed(m)))
                .onMessage(KeyMessage.ReadDue.class, m -> runAndFlush(this::readDue))
                .onMessage(
                        KeyMessage.PositionsKnown.class, m -> runAndFlush(() -> positionsKnown(m)))
                .onMessage(KeyMessage.PageRead.class, m -> runAndFlush(() -> pageRead(m)))
                .onMessage(KeyMessage.ReadFailed.class, m -> runAndFlush(() -> readFailed(m)))
                .onMessage(KeyMessage.FlushDue.class, m -> runAndFlush(() -> {}))
                .onMessage(KeyMessage.Tick.class, m -> runAndFlush(this::tick))
                .onMessage(
                        KeyMessage.PositionRequested.class,
                        m -> runAndFlush(() -> m.position().complete(mCoordinator.position())))
                .onMessage(KeyMessage.Stop.class, m -> Behaviors.stopped())
                .build();
    }

    private Behavior<KeyMessage> runAndFlush(Runnable step) {
        step.run();
        flush();
        return this;
    }

    private void submitted(KeyMessage.Call call) {
        Optional<KeyedRequest> request = readStream(call.request());
        if (request.isEmpty()) {
            call.answer().complete(AnswerConverter.toAnswer(Refusal.KEY_INVALID.answer()));
            return;
        }
        mCalls.put(request.get().token(), call);
        perform(mCoordinator.submit(request.get(), mClock.now()));
    }

    private void handedOver(KeyMessage.HandedOver m) {
        Optional<KeyedRequest> request = readStream(m.call().request());
        if (request.isEmpty()) {
            m.call().answer().complete(AnswerConverter.toAnswer(Refusal.KEY_INVALID.answer()));
            return;
        }
        mCalls.put(request.get().token(), m.call());
        perform(mCoordinator.submitHandedOver(request.get(), m.owner(), mClock.now()));
    }

    private Optional<KeyedRequest> readStream(CallerRequest r) {
        String text = r.key().orElseThrow();
        Optional<IssuedKey> issued = Optional.empty();
        TeamId team = r.team().orElse(TeamId.of(NO_TEAM));
        if (KeyIssuer.looksIssued(text)) {
            issued = mIssuer.parse(text);
            if (issued.isEmpty()) {
                return Optional.empty();
            }
        }
        RequestKey key =
                issued.map(RequestKey::of).orElseGet(() -> RequestKey.of(team, r.service(), text));
        Fingerprint fingerprint =
                Fingerprint.of(team, r.service(), r.method(), r.target(), r.body());
        Instant deadline = mClock.at(r.deadline());
        return Optional.of(new KeyedRequest(mNextToken++, key, fingerprint, issued, deadline));
    }

    private void runCompleted(KeyMessage.RunCompleted m) {
        perform(mCoordinator.runCompleted(m.token(), AnswerConverter.toKeyedAnswer(m.answer())));
    }

    private void appendFailed(KeyMessage.AppendFailed m) {
        if (m.hadNoEffect()) {
            perform(mCoordinator.appendFailed(m.id()));
        } else {
            mCoordinator.appendUncertain(m.id());
        }
    }

    private void readDue() {
        if (mCoordinator.positionsNeeded()) {
            mPeers.positions().thenAccept(p -> mSelf.tell(new KeyMessage.PositionsKnown(p)));
        } else {
            readStream(LONG_POLL_TIME);
        }
    }

    private void positionsKnown(KeyMessage.PositionsKnown m) {
        mCoordinator.updatePeerPositions(m.positions());
        readStream(Duration.ZERO);
    }

    private void readStream(Duration wait) {
        Instant asked = mClock.now();
        mStream.read(mCoordinator.nextReadOffset(), wait)
                .whenComplete(
                        (page, e) ->
                                mSelf.tell(
                                        e == null
                                                ? new KeyMessage.PageRead(page, asked)
                                                : new KeyMessage.ReadFailed(e.getMessage())));
    }

    private void pageRead(KeyMessage.PageRead m) {
        if (m.requestedAt().plus(MAX_PAGE_AGE).isBefore(mClock.now())) {
            // After a pause of this process, the stream may have lost these records and other
            // entries may have claimed the keys.
            readFailed(new KeyMessage.ReadFailed("the page is too old"));
            return;
        }
        mRetryDelay = MIN_RETRY_DELAY;
        long era = mCoordinator.position().era().number();
        perform(mCoordinator.pageRead(m.page(), mClock.now()));
        long newEra = mCoordinator.position().era().number();
        if (newEra != era) {
            LOG.info("The claims stream is in era {0}.", Long.toString(newEra));
        }
        logReadiness();
        mSelf.tell(KeyMessage.ReadDue.INSTANCE);
    }

    private void readFailed(KeyMessage.ReadFailed m) {
        LOG.debug("Reading the claims stream failed: {0}.", m.reason());
        perform(mCoordinator.readFailed(mClock.now()));
        logReadiness();
        long jitter = mRandom.nextLong(mRetryDelay.toNanos() / 2);
        mTimers.startSingleTimer(KeyMessage.ReadDue.INSTANCE, mRetryDelay.minusNanos(jitter));
        Duration twice = mRetryDelay.multipliedBy(2);
        mRetryDelay = twice.compareTo(MAX_RETRY_DELAY) < 0 ? twice : MAX_RETRY_DELAY;
    }

    private void tick() {
        perform(mCoordinator.tick(mClock.now()));
        logReadiness();
        mMetrics.update(mCoordinator, mClock.now());
    }

    private void logReadiness() {
        Optional<Refusal> refusal = mCoordinator.claimRefusal(mClock.now());
        if (refusal.equals(mLastRefusal)) {
            return;
        }
        mLastRefusal = refusal;
        if (refusal.isEmpty()) {
            LOG.info("New keys are taken.");
        } else {
            LOG.warn("New keys are refused: {0}.", refusal.get());
        }
    }

    private void flush() {
        Instant now = mClock.now();
        if (now.isBefore(mNextFlush)) {
            if (mCoordinator.pendingClaims() > 0
                    && !mTimers.isTimerActive(KeyMessage.FlushDue.INSTANCE)) {
                mTimers.startSingleTimer(
                        KeyMessage.FlushDue.INSTANCE, Duration.between(now, mNextFlush));
            }
            return;
        }
        List<Action> actions = mCoordinator.flush(now);
        if (!actions.isEmpty()) {
            mNextFlush = now.plus(mOptions.appendInterval());
            perform(actions);
        }
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Append a) {
                append(a);
            } else if (action instanceof Action.Run a) {
                run(a.token());
            } else if (action instanceof Action.HandOver a) {
                handOver(a);
            } else if (action instanceof Action.Reply a) {
                mMetrics.count(a.answer());
                mCalls.remove(a.token()).answer().complete(AnswerConverter.toAnswer(a.answer()));
            }
        }
    }

    private void append(Action.Append a) {
        mMetrics.appends().mark();
        mStream.append(a.id(), a.batch())
                .whenComplete(
                        (result, e) ->
                                mSelf.tell(
                                        e == null
                                                ? new KeyMessage.Appended(a.id())
                                                : new KeyMessage.AppendFailed(
                                                        a.id(), ClaimsStream.hadNoEffect(e))));
    }

    private void run(long token) {
        Answer lost = AnswerConverter.toAnswer(Refusal.OUTCOME_LOST.answer());
        mCalls.get(token)
                .attempt()
                .get()
                .exceptionally(e -> lost)
                .thenAccept(answer -> mSelf.tell(new KeyMessage.RunCompleted(token, answer)));
    }

    private void handOver(Action.HandOver a) {
        KeyMessage.Call call = mCalls.remove(a.token());
        Answer gone = AnswerConverter.toAnswer(Refusal.OWNER_GONE.answer());
        mPeers.handOver(call.request(), a.owner())
                .exceptionally(e -> gone)
                .thenAccept(call.answer()::complete);
    }
}
