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

/** Owns the decisions about keys on one thread and carries them out. */
final class KeyKeeper extends AbstractBehavior<KeyMessage> {

    private static final Log LOG = Log.of("keys");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration LONG_POLL = Duration.ofSeconds(1);
    private static final Duration OLDEST_PAGE = Duration.ofSeconds(3);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(20);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);
    private static final String NO_TEAM = "-";

    private final KeyCoordinator mCore;
    private final KeyIssuer mIssuer;
    private final ClaimsStream mStream;
    private final ClaimPeers mPeers;
    private final KeyOptions mOptions;
    private final KeyGauges mGauges;
    private final KeyClock mClock;
    private final RandomGenerator mRandom;
    private final TimerScheduler<KeyMessage> mTimers;
    private final ActorRef<KeyMessage> mSelf;
    private final Map<Long, KeyMessage.Call> mCalls = new HashMap<>();
    private Optional<Refusal> mLastRefusal = Optional.of(Refusal.STARTING);
    private Instant mNextFlush = Instant.MIN;
    private Duration mPause = FIRST_PAUSE;
    private long mTokens;

    private KeyKeeper(
            ActorContext<KeyMessage> context, TimerScheduler<KeyMessage> timers, KeyParts parts) {
        super(context);
        mCore =
                new KeyCoordinator(
                        parts.self(), parts.options().limits(), parts.options().newDeployment());
        mIssuer = parts.issuer();
        mStream = new ClaimsStream(parts.log());
        mPeers = parts.peers();
        mOptions = parts.options();
        mGauges = parts.gauges();
        mClock = parts.clock();
        mRandom = RandomGenerator.getDefault();
        mTimers = timers;
        mSelf = context.getSelf();
        timers.startTimerWithFixedDelay(KeyMessage.Tick.INSTANCE, TICK);
        mSelf.tell(KeyMessage.ReadDue.INSTANCE);
    }

    static Behavior<KeyMessage> create(KeyParts parts) {
        return Behaviors.setup(
                context -> Behaviors.withTimers(timers -> new KeyKeeper(context, timers, parts)));
    }

    @Override
    public Receive<KeyMessage> createReceive() {
        return newReceiveBuilder()
                .onMessage(KeyMessage.Submitted.class, m -> then(() -> submitted(m.call())))
                .onMessage(KeyMessage.HandedOver.class, m -> then(() -> handedOver(m)))
                .onMessage(KeyMessage.Ran.class, m -> then(() -> ran(m)))
                .onMessage(KeyMessage.Appended.class, m -> then(() -> mCore.appended(m.id())))
                .onMessage(KeyMessage.AppendFailed.class, m -> then(() -> appendFailed(m)))
                .onMessage(KeyMessage.ReadDue.class, m -> then(this::readDue))
                .onMessage(KeyMessage.PositionsKnown.class, m -> then(() -> positionsKnown(m)))
                .onMessage(KeyMessage.PageRead.class, m -> then(() -> pageRead(m)))
                .onMessage(KeyMessage.ReadFailed.class, m -> then(() -> readFailed(m)))
                .onMessage(KeyMessage.FlushDue.class, m -> then(() -> {}))
                .onMessage(KeyMessage.Tick.class, m -> then(this::tick))
                .onMessage(
                        KeyMessage.PositionAsked.class,
                        m -> then(() -> m.position().complete(mCore.position())))
                .onMessage(KeyMessage.Stop.class, m -> Behaviors.stopped())
                .build();
    }

    private Behavior<KeyMessage> then(Runnable step) {
        step.run();
        flush();
        return this;
    }

    private void submitted(KeyMessage.Call call) {
        Optional<KeyedRequest> request = read(call.request());
        if (request.isEmpty()) {
            call.answer().complete(KeyAnswers.toCaller(Refusal.KEY_INVALID.answer()));
            return;
        }
        mCalls.put(request.get().token(), call);
        perform(mCore.submit(request.get(), mClock.now()));
    }

    private void handedOver(KeyMessage.HandedOver m) {
        Optional<KeyedRequest> request = read(m.call().request());
        if (request.isEmpty()) {
            m.call().answer().complete(KeyAnswers.toCaller(Refusal.KEY_INVALID.answer()));
            return;
        }
        mCalls.put(request.get().token(), m.call());
        perform(mCore.handedOver(request.get(), m.owner(), mClock.now()));
    }

    private Optional<KeyedRequest> read(CallerRequest r) {
        String text = r.key().orElseThrow();
        Optional<IssuedKey> issued = Optional.empty();
        TeamId team = r.team().orElse(TeamId.of(NO_TEAM));
        if (KeyIssuer.looksIssued(text)) {
            issued = mIssuer.read(text);
            if (issued.isEmpty()) {
                return Optional.empty();
            }
        }
        RequestKey key =
                issued.map(RequestKey::of).orElseGet(() -> RequestKey.of(team, r.service(), text));
        Fingerprint print = Fingerprint.of(team, r.service(), r.method(), r.target(), r.body());
        Instant deadline = mClock.at(r.deadline());
        return Optional.of(new KeyedRequest(mTokens++, key, print, issued, deadline));
    }

    private void ran(KeyMessage.Ran m) {
        perform(mCore.ran(m.token(), KeyAnswers.toMemory(m.answer())));
    }

    private void appendFailed(KeyMessage.AppendFailed m) {
        if (m.hadNoEffect()) {
            perform(mCore.appendRefused(m.id()));
        } else {
            mCore.appendLost(m.id());
        }
    }

    private void readDue() {
        if (mCore.positionsNeeded()) {
            mPeers.positions().thenAccept(p -> mSelf.tell(new KeyMessage.PositionsKnown(p)));
        } else {
            read(LONG_POLL);
        }
    }

    private void positionsKnown(KeyMessage.PositionsKnown m) {
        mCore.positions(m.positions());
        read(Duration.ZERO);
    }

    private void read(Duration wait) {
        Instant asked = mClock.now();
        mStream.read(mCore.readFrom(), wait)
                .whenComplete(
                        (page, e) ->
                                mSelf.tell(
                                        e == null
                                                ? new KeyMessage.PageRead(page, asked)
                                                : new KeyMessage.ReadFailed(e.getMessage())));
    }

    private void pageRead(KeyMessage.PageRead m) {
        if (m.asked().plus(OLDEST_PAGE).isBefore(mClock.now())) {
            // Against a process that was paused: the stream may have lost this page since, and
            // others may have taken its keys.
            readFailed(new KeyMessage.ReadFailed("the page is out of date"));
            return;
        }
        mPause = FIRST_PAUSE;
        long era = mCore.position().era().number();
        perform(mCore.read(m.page(), mClock.now()));
        long newEra = mCore.position().era().number();
        if (newEra != era) {
            LOG.info("The claims stream is in era {0}.", Long.toString(newEra));
        }
        tellReadiness();
        mSelf.tell(KeyMessage.ReadDue.INSTANCE);
    }

    private void readFailed(KeyMessage.ReadFailed m) {
        LOG.debug("Reading claims failed: {0}.", m.why());
        perform(mCore.readFailed(mClock.now()));
        tellReadiness();
        long jitter = mRandom.nextLong(mPause.toNanos() / 2);
        mTimers.startSingleTimer(KeyMessage.ReadDue.INSTANCE, mPause.minusNanos(jitter));
        Duration twice = mPause.multipliedBy(2);
        mPause = twice.compareTo(LONGEST_PAUSE) < 0 ? twice : LONGEST_PAUSE;
    }

    private void tick() {
        perform(mCore.tick(mClock.now()));
        tellReadiness();
        mGauges.update(mCore, mClock.now());
    }

    private void tellReadiness() {
        Optional<Refusal> refusal = mCore.notReady(mClock.now());
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
            if (mCore.pendingClaims() > 0 && !mTimers.isTimerActive(KeyMessage.FlushDue.INSTANCE)) {
                mTimers.startSingleTimer(
                        KeyMessage.FlushDue.INSTANCE, Duration.between(now, mNextFlush));
            }
            return;
        }
        List<Action> actions = mCore.flush(now);
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
                mGauges.count(a.answer());
                mCalls.remove(a.token()).answer().complete(KeyAnswers.toCaller(a.answer()));
            }
        }
    }

    private void append(Action.Append a) {
        mGauges.appends().mark();
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
        Answer lost = KeyAnswers.toCaller(Refusal.OUTCOME_LOST.answer());
        mCalls.get(token)
                .attempt()
                .get()
                .exceptionally(e -> lost)
                .thenAccept(answer -> mSelf.tell(new KeyMessage.Ran(token, answer)));
    }

    private void handOver(Action.HandOver a) {
        KeyMessage.Call call = mCalls.remove(a.token());
        Answer gone = KeyAnswers.toCaller(Refusal.OWNER_GONE.answer());
        mPeers.handOver(call.request(), a.owner())
                .exceptionally(e -> gone)
                .thenAccept(call.answer()::complete);
    }
}
