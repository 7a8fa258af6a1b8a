package org.foxtailplank.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.internal.fault.Fault;
import org.foxtailplank.standin.internal.fault.FaultKind;
import org.foxtailplank.standin.internal.fault.Faults;
import org.foxtailplank.standin.internal.http.Json;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;
import org.foxtailplank.standin.internal.http.StandinServer;
import org.foxtailplank.standin.internal.log.StandinLog;
import org.foxtailplank.standin.internal.vm.StandinVms;
import org.foxtailplank.standin.internal.worker.StandinWorkers;

/** A small platform that speaks the interface of {@code docs/PLATFORM.md}. */
public final class PlatformStandin implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 2000;
    private static final int ACCEPTED = 202;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Faults mFaults;
    private final StandinLog mLog;
    private final StandinVms mVms;
    private final StandinWorkers mWorkers;
    private StandinServer mServer;

    private PlatformStandin(
            Settings settings, PlatformOptions options, ClassicActorSystemProvider system) {
        mFaults = new Faults(options.seed());
        mLog = new StandinLog(settings.platform());
        mVms = new StandinVms(settings, options, system);
        mWorkers = new StandinWorkers(settings, options, mFaults);
        mVms.onPowerLost(mWorkers::lose);
    }

    /**
     * Starts a platform with the fleet of the settings; of each pool's VMs as many are on as its
     * target and reserve say.
     */
    public static PlatformStandin start(
            Settings settings, PlatformOptions options, ClassicActorSystemProvider system)
            throws IOException {
        PlatformStandin platform = new PlatformStandin(settings, options, system);
        platform.mVms.powerOnFirst();
        platform.mServer =
                StandinServer.start(system, options.address(), MAX_CONNECTIONS, platform::handle);
        return platform;
    }

    /** The base address of its HTTP interface. */
    public URI address() {
        InetSocketAddress address = mServer.address();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /** The backend server on a VM, if one runs there. */
    public Optional<BackendStandin> backend(VmId vm) {
        return mVms.backend(vm);
    }

    /** What the backend servers ran, by VM, also those that have gone since. */
    public Map<VmId, List<Execution>> executions() {
        return mVms.executions();
    }

    /** Requests in flight that planned stops cut off. */
    public int cutOff() {
        return mVms.cutOff();
    }

    @Override
    public void close() {
        mServer.close();
        mVms.close();
    }

    private CompletionStage<Reply> handle(Request request) throws IOException {
        return switch (request.path().isEmpty() ? "" : request.path().get(0)) {
            case "faults" -> done(faults(request));
            case "executions" -> done(Reply.json(OK, mVms.executionsByName()));
            case "v1" -> call(request);
            default -> done(noSuchCall(request));
        };
    }

    private CompletionStage<Reply> call(Request request) {
        String kind = request.path().size() < 2 ? "" : request.path().get(1);
        return switch (kind) {
            case "streams" -> around("log", request, () -> mLog.handle(request));
            case "vms" -> around("vms", request, () -> mVms.handle(request));
            case "workers" ->
                    around("workers", request, () -> mWorkers.handle(request, mVms.poweredOn()));
            default -> done(noSuchCall(request));
        };
    }

    private CompletionStage<Reply> around(String target, Request request, Call call) {
        // Failing VMs and workers is not something that happens to the call itself.
        return mFaults.around(
                target,
                f -> f.kind() != FaultKind.FAIL && matchesStream(f, request),
                request,
                () -> {
                    try {
                        return call.run();
                    } catch (IOException e) {
                        throw new IllegalArgumentException(e.getMessage(), e);
                    }
                });
    }

    private static boolean matchesStream(Fault fault, Request request) {
        return fault.stream().isEmpty()
                || request.path().size() > 2 && request.path().get(2).equals(fault.stream().get());
    }

    private Reply faults(Request request) throws IOException {
        if (request.is("DELETE", 1)) {
            mFaults.clear();
            return Reply.json(OK, List.of());
        }
        Fault fault = Json.read(request.body(), Fault.class);
        switch (fault.kind()) {
            case SHORTEN, EXPIRE -> mLog.lose(fault);
            case RECOVER -> mVms.recover(fault);
            case FAIL -> {
                if (fault.target().equals("vms")) {
                    mVms.fail(fault);
                } else {
                    mFaults.add(fault);
                }
            }
            default -> mFaults.add(fault);
        }
        return Reply.json(ACCEPTED, List.of());
    }

    private static Reply noSuchCall(Request request) {
        return Reply.error(NOT_FOUND, "no such call: " + request.what());
    }

    private static CompletionStage<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    /** One call, carried out. */
    @FunctionalInterface
    private interface Call {
        CompletionStage<Reply> run() throws IOException;
    }
}
