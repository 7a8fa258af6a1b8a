package org.foxtailplank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;
import org.foxtailplank.standin.SmallDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The clients against the stand-in, with its faults. */
public final class HttpPlatformTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    private static final Duration NO_WAIT = Duration.ZERO;
    private static final VmId VM = VmId.of("z1-r1-vm1");
    private static final PoolId CLAIMS = PoolId.of("claims");

    private ActorSystem mSystem;
    private PlatformStandin mStandin;
    private HttpPlatform mPlatform;

    @BeforeClass
    public void startSystem() {
        mSystem = ActorSystem.create("platform-test");
    }

    @AfterClass
    public void stopSystem() throws Exception {
        mSystem.terminate();
        mSystem.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @BeforeMethod
    public void startStandin() throws Exception {
        startStandin(Duration.ofMillis(100));
    }

    /** A stand-in whose tasks work for so long. */
    private void startStandin(Duration work) throws Exception {
        PlatformOptions options =
                PlatformOptions.quick()
                        .withVmTimes(
                                Duration.ofMillis(20),
                                Duration.ofMillis(20),
                                Duration.ofMillis(20),
                                Duration.ofMillis(20))
                        .withWork(Duration.ofMillis(1), Duration.ofMillis(5), work, 0);
        mStandin =
                PlatformStandin.start(
                        SmallDeployment.settings(2, URI.create("http://127.0.0.1:1")),
                        options,
                        mSystem);
        mPlatform = HttpPlatform.at(mStandin.address(), TIMEOUT, mSystem);
    }

    @AfterMethod
    public void stopStandin() {
        mStandin.close();
    }

    @Test
    public void appendsAndReadsInOrder() throws Exception {
        AppendResult first = get(mPlatform.log().append("s", List.of(entry("a"), entry("b"))));
        AppendResult second = get(mPlatform.log().append("s", List.of(entry("c"))));
        assertEquals(first, new AppendResult(1, 3));
        assertEquals(second, new AppendResult(3, 4));

        ReadResult read = get(mPlatform.log().read("s", 2, 10, NO_WAIT));
        assertEquals(read.oldest(), 1);
        assertEquals(read.end(), 4);
        assertEquals(ids(read), List.of("b", "c"));
        assertEquals(text(read.entries().get(1)), "data of c");
    }

    @Test
    public void readWaitsForAnAppend() throws Exception {
        CompletionStage<ReadResult> read = mPlatform.log().read("s", 1, 10, Duration.ofSeconds(10));
        get(mPlatform.log().append("s", List.of(entry("a"))));
        assertEquals(ids(get(read)), List.of("a"));
    }

    @Test
    public void readBehindTheHorizonSaysWhatIsLeft() throws Exception {
        get(mPlatform.log().append("s", List.of(entry("a"), entry("b"), entry("c"))));
        fault("{'target':'log','kind':'expire','stream':'s','offset':3}");
        ReadResult read = get(mPlatform.log().read("s", 1, 10, NO_WAIT));
        assertEquals(read.oldest(), 3);
        assertTrue(read.entries().isEmpty());
    }

    @Test
    public void readPastAShortenedEndShowsTheNewEnd() throws Exception {
        get(mPlatform.log().append("s", List.of(entry("a"), entry("b"), entry("c"))));
        fault("{'target':'log','kind':'shorten','stream':'s','offset':2}");
        ReadResult read = get(mPlatform.log().read("s", 4, 10, Duration.ofSeconds(10)));
        assertEquals(read.end(), 2);
        assertTrue(read.entries().isEmpty());
    }

    @Test
    public void refusedAppendHadNoEffect() throws Exception {
        fault("{'target':'log','kind':'refuse','times':1}");
        assertEquals(effectOf(mPlatform.log().append("s", List.of(entry("a")))), Effect.NONE);
        assertEquals(get(mPlatform.log().read("s", 1, 10, NO_WAIT)).end(), 1);
    }

    /**
     * The platform takes an append and its answer is lost. If the client called that a failure
     * without effect, the writer would append again and the record would stand twice.
     */
    @Test
    public void effectOfALostAnswerIsUnknown() throws Exception {
        fault("{'target':'log','kind':'lose-answer','times':1}");
        assertEquals(effectOf(mPlatform.log().append("s", List.of(entry("a")))), Effect.UNKNOWN);
        assertEquals(ids(get(mPlatform.log().read("s", 1, 10, NO_WAIT))), List.of("a"));
    }

    @Test
    public void effectOfATimeoutIsUnknown() throws Exception {
        fault("{'target':'log','kind':'hang','times':1}");
        HttpPlatform hasty = HttpPlatform.at(mStandin.address(), SHORT_TIMEOUT, mSystem);
        assertEquals(effectOf(hasty.log().append("s", List.of(entry("a")))), Effect.UNKNOWN);
    }

    /**
     * Guards against an entry on a busy machine that never loads its state and rejects everyone.
     */
    @Test
    public void readsOfASlowLogSucceedInTheEnd() throws Exception {
        get(mPlatform.log().append("s", List.of(entry("a"))));
        fault("{'target':'log','kind':'delay','delayMs':150}");
        HttpPlatform hasty = HttpPlatform.at(mStandin.address(), SHORT_TIMEOUT, mSystem);

        int timeouts = 0;
        Optional<ReadResult> read = Optional.empty();
        while (read.isEmpty() && timeouts < 5) {
            try {
                read = Optional.of(get(hasty.log().read("s", 1, 10, NO_WAIT)));
            } catch (ExecutionException e) {
                timeouts++;
            }
        }

        assertEquals(read.map(HttpPlatformTest::ids), Optional.of(List.of("a")));
    }

    @Test
    public void effectOfATruncatedAnswerIsUnknown() throws Exception {
        fault("{'target':'log','kind':'truncate','times':1}");
        assertEquals(effectOf(mPlatform.log().append("s", List.of(entry("a")))), Effect.UNKNOWN);
    }

    @Test
    public void callThatFoundNobodyHadNoEffect() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        HttpPlatform nobody =
                HttpPlatform.at(URI.create("http://127.0.0.1:" + port), TIMEOUT, mSystem);
        assertEquals(effectOf(nobody.log().append("s", List.of(entry("a")))), Effect.NONE);
    }

    @Test
    public void findsAVmAndNotAnother() throws Exception {
        VmReport vm = get(mPlatform.vms().find(VM)).orElseThrow();
        assertEquals(vm.power(), VmPower.ON);
        assertEquals(vm.pool(), Optional.of(CLAIMS));
        assertEquals(vm.instance().orElseThrow().service().value(), "claims");
        assertTrue(get(mPlatform.vms().find(VmId.of("nobody"))).isEmpty());
    }

    @Test
    public void listsVmsOfAZone() throws Exception {
        assertEquals(get(mPlatform.vms().list(Optional.empty())).vms().size(), 8);
        VmList list = get(mPlatform.vms().list(Optional.of(ZoneId.of("z2"))));
        assertEquals(list.vms().size(), 4);
        assertTrue(list.vms().stream().allMatch(v -> v.zone().value().equals("z2")));
    }

    @Test
    public void rebootDrainsAndComesBack() throws Exception {
        ActionReply reply = act("a1", PlatformAction.REBOOT, 1);
        assertTrue(reply.accepted());
        assertTrue(reply.vm().leaving());
        VmReport vm =
                untilVm(v -> v.lastAction().orElseThrow().progress() == ActionReport.Progress.DONE);
        assertEquals(vm.power(), VmPower.ON);
        assertFalse(vm.leaving());
        assertEquals(mStandin.cutOff(), 0);
    }

    /** A controller that was paused asks for an action that its successor has overtaken. */
    @Test
    public void actionOfAnEarlierGenerationIsTurnedDown() throws Exception {
        assertTrue(act("a2", PlatformAction.SLEEP, 2).accepted());
        ActionReply late = act("a1", PlatformAction.REBOOT, 1);
        assertFalse(late.accepted());
        assertEquals(late.vm().generation(), 2);
    }

    @Test
    public void sameActionAgainHasNoFurtherEffect() throws Exception {
        assertTrue(act("a1", PlatformAction.SLEEP, 1).accepted());
        untilVm(v -> v.power() == VmPower.OFF);
        ActionReply again = act("a1", PlatformAction.SLEEP, 1);
        assertTrue(again.accepted());
        assertEquals(again.vm().power(), VmPower.OFF);
    }

    @Test
    public void drainPreparesForAnActionOfItsGeneration() throws Exception {
        assertTrue(act("a1", PlatformAction.DRAIN, 1).accepted());
        untilVm(v -> v.lastAction().orElseThrow().progress() == ActionReport.Progress.DONE);
        assertTrue(act("a2", PlatformAction.SLEEP, 1).accepted());
        untilVm(v -> v.power() == VmPower.OFF);
    }

    @Test
    public void failedVmFailsWhatItIsAsked() throws Exception {
        fault("{'target':'vms','kind':'fail','rack':'z1-r1'}");
        assertEquals(get(mPlatform.vms().find(VM)).orElseThrow().power(), VmPower.FAILED);
        act("a1", PlatformAction.REBOOT, 1);
        VmReport vm = get(mPlatform.vms().find(VM)).orElseThrow();
        assertEquals(vm.lastAction().orElseThrow().progress(), ActionReport.Progress.FAILED);
        fault("{'target':'vms','kind':'recover','vm':'z1-r1-vm1'}");
        assertEquals(get(mPlatform.vms().find(VM)).orElseThrow().power(), VmPower.ON);
    }

    @Test
    public void taskRunsToItsEnd() throws Exception {
        TaskStart start = task(1, Duration.ofSeconds(30));
        assertEquals(get(mPlatform.workers().start(VM, start)), TaskReply.ACCEPTED);
        assertEquals(get(mPlatform.workers().start(VM, start)), TaskReply.ACCEPTED);
        untilTask(TaskReport.Status.SUCCEEDED);
    }

    @Test
    public void attemptIsFencedByALaterOne() throws Exception {
        // It failed once on a busy machine: "the task never became STOPPED". The stand-in's task
        // worked for 100 ms and had ended by itself before the fourth call stopped it.
        stopStandin();
        startStandin(Duration.ofHours(1));
        get(mPlatform.workers().start(VM, task(2, Duration.ofSeconds(30))));
        assertEquals(
                get(mPlatform.workers().start(VM, task(1, Duration.ofSeconds(30)))),
                TaskReply.OTHER_ATTEMPT);
        TaskId id = task(1, NO_WAIT).task();
        assertEquals(
                get(mPlatform.workers().act(VM, id, 1, TaskRequest.STOP)), TaskReply.OTHER_ATTEMPT);
        assertEquals(get(mPlatform.workers().act(VM, id, 2, TaskRequest.STOP)), TaskReply.ACCEPTED);
        untilTask(TaskReport.Status.STOPPED);
    }

    @Test
    public void lapsedLeaseLosesTheTask() throws Exception {
        get(mPlatform.workers().start(VM, task(1, Duration.ofMillis(1))));
        untilTask(TaskReport.Status.LOST);
    }

    @Test
    public void workerThatFailsEverythingFailsTheTask() throws Exception {
        fault("{'target':'workers','kind':'fail','vm':'z1-r1-vm1'}");
        get(mPlatform.workers().start(VM, task(1, Duration.ofSeconds(30))));
        untilTask(TaskReport.Status.FAILED);
    }

    @Test
    public void unknownTasksAndWorkersAreToldApart() throws Exception {
        TaskId id = task(1, NO_WAIT).task();
        assertEquals(get(mPlatform.workers().renew(VM, id, 1, TIMEOUT)), TaskReply.UNKNOWN_TASK);
        assertEquals(
                get(mPlatform.workers().start(VmId.of("nobody"), task(1, TIMEOUT))),
                TaskReply.UNKNOWN_WORKER);
    }

    private ActionReply act(String id, PlatformAction action, long generation) throws Exception {
        return get(
                mPlatform
                        .vmActions()
                        .act(VM, new ActionRequest(id, action, generation, CLAIMS, 1)));
    }

    private static TaskStart task(long attempt, Duration lease) {
        return new TaskStart(new TaskId(JobId.of("job"), 0), attempt, lease, 2, 1 << 20, 0);
    }

    private VmReport untilVm(Predicate<VmReport> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline) {
            VmReport vm = get(mPlatform.vms().find(VM)).orElseThrow();
            if (condition.test(vm)) {
                return vm;
            }
        }
        throw new AssertionError("the VM never came to the wanted state");
    }

    private void untilTask(TaskReport.Status status) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline) {
            WorkerList list = get(mPlatform.workers().list(Optional.of(ZoneId.of("z1"))));
            boolean there =
                    list.workers().stream()
                            .flatMap(w -> w.tasks().stream())
                            .anyMatch(t -> t.status() == status);
            if (there) {
                return;
            }
        }
        throw new AssertionError("the task never became " + status);
    }

    private void fault(String json) throws Exception {
        HttpRequest request =
                HttpRequest.POST(mStandin.address() + "/faults")
                        .withEntity(ContentTypes.APPLICATION_JSON, json.replace('\'', '"'));
        int status = get(Http.get(mSystem).singleRequest(request)).status().intValue();
        assertEquals(status, 202);
    }

    private static Effect effectOf(CompletionStage<?> call) {
        ExecutionException e = expectThrows(ExecutionException.class, () -> get(call));
        return ((PlatformException) e.getCause()).effect();
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static LogEntry entry(String id) {
        return new LogEntry(RecordId.of(id), ("data of " + id).getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> ids(ReadResult read) {
        return read.entries().stream().map(e -> e.id().value()).toList();
    }

    private static String text(StoredEntry entry) {
        return new String(entry.data(), StandardCharsets.UTF_8);
    }
}
