package org.foxtailplank.it.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.internal.idempotency.ClaimPeers;
import org.foxtailplank.internal.idempotency.ClaimBatch;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.Position;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.wire.ClaimCodec;
import org.testng.annotations.Test;

/** One guard is taken away at a time, and the history checker must say which promise broke. */
public class GuardsOffTest {

    @Test
    public void findsNothingWithAllGuardsOn() throws Exception {
        assertEquals(kindsAfterUse(Tampering.NONE), Set.of());
    }

    @Test
    public void objectsWhenLaterClaimantRunsTheKeyItself() throws Exception {
        Tampering noOwner =
                new Tampering() {
                    @Override
                    public ClaimPeers peers(
                            ClaimPeers peers,
                            Function<CallerRequest, CompletionStage<Answer>> run) {
                        return new ClaimPeers() {
                            @Override
                            public CompletionStage<Answer> handOver(
                                    CallerRequest request, Claimant owner) {
                                return run.apply(request);
                            }

                            @Override
                            public CompletionStage<List<Position>> positions() {
                                return peers.positions();
                            }
                        };
                    }
                };
        assertTrue(kindsAfterUse(noOwner).contains(Violation.Kind.RAN_TWICE));
    }

    @Test
    public void objectsWhenAnEntryDoesNotReadTheClaimsOfOthers() throws Exception {
        Tampering ownClaimsOnly =
                new Tampering() {
                    @Override
                    public PlatformLog log(Claimant self, PlatformLog log) {
                        return new OwnRecordsOnly(log);
                    }
                };
        assertTrue(kindsAfterUse(ownClaimsOnly).contains(Violation.Kind.RAN_TWICE));
    }

    @Test
    public void objectsWhenReplacementTakesItselfForThePredecessor() throws Exception {
        Tampering sameIncarnation =
                new Tampering() {
                    @Override
                    public Claimant self(Claimant self) {
                        return new Claimant(self.node(), 1);
                    }
                };
        assertTrue(kindsAfterUse(sameIncarnation).contains(Violation.Kind.RAN_TWICE));
    }

    @Test
    public void objectsWhenAnAnswerIsCutShort() throws Exception {
        Tampering half = answers(a -> withBody(a, Arrays.copyOf(a.body(), a.body().length / 2)));
        assertTrue(kindsAfterUse(half).contains(Violation.Kind.SHORT_ANSWER));
    }

    @Test
    public void objectsWhenAnAnswerGoesToAnotherRequest() throws Exception {
        AtomicReference<Answer> last = new AtomicReference<>();
        Tampering late = answers(a -> Optional.ofNullable(last.getAndSet(a)).orElse(a));
        assertTrue(kindsAfterUse(late).contains(Violation.Kind.SWAPPED_ANSWER));
    }

    @Test
    public void objectsWhenLostAnswersAreToldAsNotRun() throws Exception {
        Tampering lying =
                answers(
                        a ->
                                new Answer(
                                        503,
                                        Outcome.NOT_RUN,
                                        Optional.of(Duration.ofSeconds(1)),
                                        a.contentType(),
                                        List.of(),
                                        new byte[0]));
        assertTrue(kindsAfterUse(lying).contains(Violation.Kind.FALSE_NOT_RUN));
    }

    /** Sends keys to all entries at once, replaces one entry, and sends the same keys again. */
    private static Set<Violation.Kind> kindsAfterUse(Tampering tampering) throws Exception {
        try (KeyedEntries entries = new KeyedEntries(2, tampering)) {
            entries.awaitTaken(0);
            entries.awaitTaken(1);
            // Whichever entry claims the others, the one that is replaced owns this key.
            entries.post(0, "key-0").join();
            sendTwenty(entries);
            entries.replace(0);
            entries.awaitTaken(0);
            sendTwenty(entries);
            return entries.violations().stream()
                    .map(Violation::kind)
                    .collect(Collectors.toCollection(HashSet::new));
        }
    }

    private static void sendTwenty(KeyedEntries entries) {
        List<CompletableFuture<CallerLog.Result>> calls = new ArrayList<>();
        for (int key = 0; key < 20; key++) {
            calls.add(entries.post(0, "key-" + key));
            calls.add(entries.post(1, "key-" + key));
        }
        calls.forEach(CompletableFuture::join);
    }

    private static Tampering answers(Function<Answer, Answer> change) {
        return new Tampering() {
            @Override
            public Supplier<CompletionStage<Answer>> attempt(
                    Supplier<CompletionStage<Answer>> attempt) {
                return () -> attempt.get().thenApply(change);
            }
        };
    }

    private static Answer withBody(Answer a, byte[] body) {
        return new Answer(
                a.status(), a.outcome(), a.retryAfter(), a.contentType(), a.headers(), body);
    }

    /** A log on which the records of others claim nothing. */
    private record OwnRecordsOnly(PlatformLog log, Set<String> own) implements PlatformLog {

        private OwnRecordsOnly(PlatformLog log) {
            this(log, ConcurrentHashMap.newKeySet());
        }

        @Override
        public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
            entries.forEach(e -> own.add(e.id().value()));
            return log.append(stream, entries);
        }

        @Override
        public CompletionStage<ReadResult> read(
                String stream, long from, int limit, Duration wait) {
            return log.read(stream, from, limit, wait).thenApply(this::masked);
        }

        private ReadResult masked(ReadResult r) {
            return new ReadResult(
                    r.oldest(), r.end(), r.entries().stream().map(this::masked).toList());
        }

        private StoredEntry masked(StoredEntry entry) {
            Optional<ClaimBatch> batch = ClaimCodec.decode(entry.data());
            if (batch.isEmpty() || own.contains(entry.id().value())) {
                return entry;
            }
            ClaimBatch b = batch.get();
            ClaimBatch empty =
                    new ClaimBatch(b.writer(), b.era(), b.opening(), b.time(), List.of());
            return new StoredEntry(entry.offset(), entry.id(), ClaimCodec.encode(empty));
        }
    }
}
