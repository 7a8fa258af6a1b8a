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

/** Real coordinators over a stream, peers and backend servers that the test controls. */
final class ClaimsFixture {

    static final Duration WINDOW = Duration.ofMinutes(10);
    static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    static final int MAX_KEYS = 40;
    static final int MAX_ANSWERS = 3;

    private static final TeamId TEAM = TeamId.of("adjusters");
    private static final ServiceId SERVICE = ServiceId.of("valuation");
    private static final KeyLimits LIMITS =
            new KeyLimits(WINDOW, Duration.ofSeconds(1), MAX_KEYS, MAX_ANSWERS, 10_000);

    private final List<KeyCoordinator> mCoordinators = new ArrayList<>();
    private final List<Claimant> mClaimants = new ArrayList<>();
    private final List<ClaimsPage.StoredRecord> mStream = new ArrayList<>();
    private final Map<Long, KeyedRequest> mRequests = new HashMap<>();
    private final Map<Long, String> mKeyTexts = new HashMap<>();
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
            mCoordinators.add(null);
            mClaimants.add(null);
            replace(i);
        }
    }

    static KeyedAnswer ok(String body) {
        return KeyedAnswer.ok(200, "text/plain", body.getBytes(StandardCharsets.UTF_8));
    }

    KeyCoordinator coordinator(int entry) {
        return mCoordinators.get(entry);
    }

    Instant now() {
        return mNow;
    }

    void advance(Duration time) {
        mNow = mNow.plus(time);
        for (int i = 0; i < mCoordinators.size(); i++) {
            perform(i, coordinator(i).tick(mNow));
        }
    }

    /** Replaces an entry by a new process under the same node name. */
    void replace(int entry) {
        Claimant name = new Claimant(NodeId.of("entry-" + entry), mNextIncarnation++);
        mClaimants.set(entry, name);
        mCoordinators.set(entry, new KeyCoordinator(name, LIMITS, mNewDeployment));
    }

    long submit(int entry, String key) {
        return submit(entry, key, "body");
    }

    long submit(int entry, String key, String body) {
        return submit(entry, RequestKey.of(TEAM, SERVICE, key), Optional.empty(), key, body);
    }

    long submitIssued(int entry, int issuer, String text) {
        IssuedKey key = new IssuedKey(mClaimants.get(issuer), 1, mNow.plus(WINDOW));
        return submitIssued(entry, key, text);
    }

    long submitIssued(int entry, IssuedKey key, String text) {
        return submit(entry, RequestKey.of(key), Optional.of(key), text, "body");
    }

    IssuedKey issuedBy(int entry) {
        return new IssuedKey(mClaimants.get(entry), 1, mNow.plus(WINDOW));
    }

    void submitAndRun(int entry, String key, KeyedAnswer answer) {
        submit(entry, key);
        flush(entry);
        readAll();
        completeRun(entry, key, answer);
    }

    void completeRun(int entry, String key, KeyedAnswer answer) {
        perform(entry, coordinator(entry).runCompleted(mRunning.remove(entry + ":" + key), answer));
    }

    /** Appends the queued claims; returns the number of appends. */
    int flush(int entry) {
        List<Action> actions = coordinator(entry).flush(mNow);
        perform(entry, actions);
        return actions.size();
    }

    void flushAndLoseAnswer(int entry) {
        for (Action action : coordinator(entry).flush(mNow)) {
            Action.Append append = (Action.Append) action;
            store(append.id(), append.batch());
            coordinator(entry).appendUncertain(append.id());
        }
    }

    void flushAndLoseAppend(int entry) {
        for (Action action : coordinator(entry).flush(mNow)) {
            coordinator(entry).appendUncertain(((Action.Append) action).id());
        }
    }

    void failRead(int entry) {
        perform(entry, coordinator(entry).readFailed(mNow));
    }

    void readAll() {
        for (int i = 0; i < mCoordinators.size(); i++) {
            read(i);
        }
    }

    void read(int entry) {
        perform(entry, coordinator(entry).pageRead(page(entry), mNow));
    }

    /** Returns the page that an entry would read now. */
    ClaimsPage page(int entry) {
        long from = coordinator(entry).nextReadOffset();
        List<ClaimsPage.StoredRecord> records =
                from > mStream.size() ? List.of() : mStream.subList((int) from - 1, mStream.size());
        return new ClaimsPage(from, 1, endOffset(), records);
    }

    void catchUp() {
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < mCoordinators.size(); i++) {
                catchUp(i);
            }
        }
    }

    void catchUp(int entry) {
        for (int round = 0; round < 4; round++) {
            if (coordinator(entry).positionsNeeded()) {
                List<Position> peers = new ArrayList<>();
                mCoordinators.stream()
                        .filter(c -> c != coordinator(entry))
                        .forEach(c -> peers.add(c.position()));
                coordinator(entry).updatePeerPositions(peers);
            }
            read(entry);
        }
    }

    long endOffset() {
        return mStream.size() + 1L;
    }

    void truncateFrom(long offset) {
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
        Fingerprint fingerprint =
                Fingerprint.of(TEAM, SERVICE, "POST", "/", body.getBytes(StandardCharsets.UTF_8));
        KeyedRequest request =
                new KeyedRequest(token, key, fingerprint, issued, mNow.plus(REQUEST_TIMEOUT));
        mRequests.put(token, request);
        mKeyTexts.put(token, text);
        perform(entry, coordinator(entry).submit(request, mNow));
        return token;
    }

    private void store(RecordId id, ClaimBatch batch) {
        mStream.add(new ClaimsPage.StoredRecord(endOffset(), id, Optional.of(batch)));
    }

    private void perform(int entry, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Append append) {
                store(append.id(), append.batch());
                coordinator(entry).appendSucceeded(append.id());
            } else if (action instanceof Action.Run run) {
                String text = entry + ":" + mKeyTexts.get(run.token());
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
        int owner = mClaimants.indexOf(handOver.owner());
        if (owner < 0) {
            mReplies.put(handOver.token(), Refusal.OWNER_GONE.answer());
            return;
        }
        KeyedRequest request = mRequests.get(handOver.token());
        perform(owner, coordinator(owner).submitHandedOver(request, handOver.owner(), mNow));
    }
}
