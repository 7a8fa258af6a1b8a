package org.foxtailplank.platform.internal.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.ActionReply;
import org.foxtailplank.platform.ActionReport;
import org.foxtailplank.platform.ActionRequest;
import org.foxtailplank.platform.InstanceReport;
import org.foxtailplank.platform.PlatformAction;
import org.foxtailplank.platform.VmActions;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.VmList;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.platform.VmReport;

/** The platform's VMs over HTTP. */
public final class HttpVms implements VmDirectory, VmActions {

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final PlatformCalls mCalls;

    /** A client that goes through the given calls. */
    public HttpVms(PlatformCalls calls) {
        mCalls = calls;
    }

    @Override
    public CompletionStage<VmList> list(Optional<ZoneId> zone) {
        return mCalls.get("/v1/vms" + Paths.zoneQuery(zone), Duration.ZERO, Set.of())
                .thenApply(a -> a.read(ListDocument.class, ListDocument::list));
    }

    @Override
    public CompletionStage<Optional<VmReport>> find(VmId vm) {
        return mCalls.get(path(vm), Duration.ZERO, Set.of(NOT_FOUND))
                .thenApply(
                        a ->
                                a.status() == NOT_FOUND
                                        ? Optional.empty()
                                        : Optional.of(
                                                a.read(VmDocument.class, VmDocument::report)));
    }

    @Override
    public CompletionStage<ActionReply> act(VmId vm, ActionRequest request) {
        ActDocument document =
                new ActDocument(
                        request.id(),
                        Paths.word(request.action()),
                        request.generation(),
                        request.pool().value(),
                        request.poolGeneration());
        return mCalls.post(path(vm) + "/actions", document, Set.of(CONFLICT))
                .thenApply(
                        a ->
                                new ActionReply(
                                        a.status() != CONFLICT,
                                        a.read(VmDocument.class, VmDocument::report)));
    }

    private static String path(VmId vm) {
        return "/v1/vms/" + Paths.segment(vm.value());
    }

    private record ActDocument(
            String id, String action, long generation, String pool, long poolGeneration) {}

    private record ListDocument(long asOfMs, List<VmDocument> vms) {

        VmList list() {
            return new VmList(
                    Instant.ofEpochMilli(asOfMs), vms.stream().map(VmDocument::report).toList());
        }
    }

    private record VmDocument(
            String id,
            String zone,
            String rack,
            String power,
            Optional<String> pool,
            long poolGeneration,
            long generation,
            String state,
            Optional<ActionDocument> lastAction,
            Optional<InstanceDocument> instance) {

        VmReport report() {
            return new VmReport(
                    VmId.of(id),
                    ZoneId.of(zone),
                    RackId.of(rack),
                    VmPower.valueOf(Paths.constant(power)),
                    pool.map(PoolId::of),
                    poolGeneration,
                    generation,
                    "leaving".equals(state),
                    lastAction.map(ActionDocument::report),
                    instance.map(InstanceDocument::report));
        }
    }

    private record ActionDocument(String id, String action, String state) {

        ActionReport report() {
            return new ActionReport(
                    id,
                    PlatformAction.valueOf(Paths.constant(action)),
                    ActionReport.Progress.valueOf(Paths.constant(state)));
        }
    }

    private record InstanceDocument(String service, String address) {

        InstanceReport report() {
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            return new InstanceReport(
                    ServiceId.of(service),
                    new InetSocketAddress(address.substring(0, colon), port));
        }
    }
}
