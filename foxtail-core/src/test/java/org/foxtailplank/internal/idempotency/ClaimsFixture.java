package org.foxtailplank.internal.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/** Entries' real decisions over a stream, peers and backend servers that a test moves by hand. */
final class ClaimsFixture {

    static final Duration WINDOW = Duration.ofMinutes(10);
    static final Duration PATIENCE = Duration.ofSeconds(5);
    static final int MAX_KEYS = 40;
    static final int MAX_ANSWERS = 3;

    private static final TeamId TEAM = TeamId.of("adjusters");
    private static final ServiceId SERVICE = ServiceId.of("valuation");
    private static final KeyLimits LIMITS =
            new KeyLimits(WINDOW, Duration.ofSeconds(1), MAX_KEYS, MAX_ANSWERS, 10_000);

    private final List<KeyCoordinator> mCores = new ArrayList<>();
    private final List<Claimant> mNames = new ArrayList<>();
    private final List<ClaimsPage.Stored> mStream = new ArrayList<>();
    private final Map<Long, KeyedRequest> mRequests = new HashMap<>();
    private final Map<Long, String> mTexts = new HashMap<>();
    private final Map<Long, KeyedAnswer> mReplies = new HashMap<>();
    private final Map<String, Long> mRunning = new HashMap<>();
    private final List<String> mExecutions = new ArrayList<>();
    private final boolean mNewDeployment;
    private Instant mNow = Instant.parse("2026-12-02T08:00:00Z");
    private long mNextToken = 1;
    private long mNextIncarnation = 100;

    ClaimsFixture(int entries) {
        this(entries, true);
    }

    ClaimsFixture(int entries, boolean newDeployment) {
        mNewDeployment = newDeployment;
        for (int i = 0; i < entries; i++) {
            mCores.add(null);
            mNames.add(null);
            replace(i);
        }
    }

    static KeyedAnswer ok(String body) {
        return KeyedAnswer.ok(200, "text/plain", body.getBytes(StandardCharsets.UTF_8));
    }

    KeyCoordinator core(int entry) {
        return mCores.get(entry);
    }

    Instant now() {
        return mNow;
    }

    void pass(Duration time) {
        mNow = mNow.plus(time);
        for (int i = 0; i < mCores.size(); i++) {
            perform(i, core(i).tick(mNow));
        }
    }

    /** Starts an entry anew, under the same name. */
    void replace(int entry) {
        Claimant name = new Claimant(NodeId.of("entry-" + entry), mNextIncarnation++);
        mNames.set(entry, name);
        mCores.set(entry, new KeyCoordinator(name, LIMITS, mNewDeployment));
    }

    long submit(int entry, String key) {
        return submit(entry, key, "body");
    }

    long submit(int entry, String key, String body) {
        return submit(entry, RequestKey.of(TEAM, SERVICE, key), Optional.empty(), key, body);
    }

    long submitIssued(int entry, int issuer, String text) {
        IssuedKey key = new IssuedKey(mNames.get(issuer), 1, mNow.plus(WINDOW));
        return submitIssued(entry, key, text);
    }

    long submitIssued(int entry, IssuedKey key, String text) {
        return submit(entry, RequestKey.of(key), Optional.of(key), text, "body");
    }

    IssuedKey issuedBy(int entry) {
        return new IssuedKey(mNames.get(entry), 1, mNow.plus(WINDOW));
    }

    void submitAndRun(int entry, String key, KeyedAnswer answer) {
        submit(entry, key);
        flush(entry);
        readAll();
        finish(entry, key, answer);
    }

    void finish(int entry, String key, KeyedAnswer answer) {
        perform(entry, core(entry).ran(mRunning.remove(entry + ":" + key), answer));
    }

    /** Appends what is queued; returns how many appends that took. */
    int flush(int entry) {
        List<Action> actions = core(entry).flush(mNow);
        perform(entry, actions);
        return actions.size();
    }

    void flushAndLoseAnswer(int entry) {
        for (Action action : core(entry).flush(mNow)) {
            Action.Append append = (Action.Append) action;
            store(append.id(), append.batch());
            core(entry).appendLost(append.id());
        }
    }

    void flushIntoNowhere(int entry) {
        for (Action action : core(entry).flush(mNow)) {
            core(entry).appendLost(((Action.Append) action).id());
        }
    }

    void readFails(int entry) {
        perform(entry, core(entry).readFailed(mNow));
    }

    void readAll() {
        for (int i = 0; i < mCores.size(); i++) {
            read(i);
        }
    }

    void read(int entry) {
        perform(entry, core(entry).read(page(entry), mNow));
    }

    /** What a read of an entry returns now. */
    ClaimsPage page(int entry) {
        long from = core(entry).readFrom();
        List<ClaimsPage.Stored> records =
                from > mStream.size() ? List.of() : mStream.subList((int) from - 1, mStream.size());
        return new ClaimsPage(from, 1, end(), records);
    }

    void catchUp() {
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < mCores.size(); i++) {
                catchUp(i);
            }
        }
    }

    void catchUp(int entry) {
        for (int round = 0; round < 4; round++) {
            if (core(entry).positionsNeeded()) {
                List<Position> others = new ArrayList<>();
                mCores.stream()
                        .filter(c -> c != core(entry))
                        .forEach(c -> others.add(c.position()));
                core(entry).positions(others);
            }
            read(entry);
        }
    }

    long end() {
        return mStream.size() + 1L;
    }

    void loseRecordsFrom(long offset) {
        mStream.subList((int) offset - 1, mStream.size()).clear();
    }

    KeyedAnswer replyTo(long token) {
        return mReplies.get(token);
    }

    List<String> executions() {
        return List.copyOf(mExecutions);
    }

    private long submit(
            int entry, RequestKey key, Optional<IssuedKey> issued, String text, String body) {
        long token = mNextToken++;
        Fingerprint print =
                Fingerprint.of(TEAM, SERVICE, "POST", "/", body.getBytes(StandardCharsets.UTF_8));
        KeyedRequest request = new KeyedRequest(token, key, print, issued, mNow.plus(PATIENCE));
        mRequests.put(token, request);
        mTexts.put(token, text);
        perform(entry, core(entry).submit(request, mNow));
        return token;
    }

    private void store(RecordId id, ClaimBatch batch) {
        mStream.add(new ClaimsPage.Stored(end(), id, Optional.of(batch)));
    }

    private void perform(int entry, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Append append) {
                store(append.id(), append.batch());
                core(entry).appended(append.id());
            } else if (action instanceof Action.Run run) {
                String text = entry + ":" + mTexts.get(run.token());
                mExecutions.add(text);
                mRunning.put(text, run.token());
            } else if (action instanceof Action.HandOver handOver) {
                handOver(handOver);
            } else if (action instanceof Action.Reply reply) {
                mReplies.put(reply.token(), reply.answer());
            }
        }
    }

    private void handOver(Action.HandOver handOver) {
        int owner = mNames.indexOf(handOver.owner());
        if (owner < 0) {
            mReplies.put(handOver.token(), Refusal.OWNER_GONE.answer());
            return;
        }
        KeyedRequest request = mRequests.get(handOver.token());
        perform(owner, core(owner).handedOver(request, handOver.owner(), mNow));
    }
}
