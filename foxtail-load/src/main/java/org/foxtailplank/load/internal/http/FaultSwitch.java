package org.foxtailplank.load.internal.http;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.load.internal.profile.TimedFault;

/** Switches the faults of a profile at their set times. */
public final class FaultSwitch implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("foxtail.load");

    private final ActorSystem<?> mSystem;
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();

    private FaultSwitch(ActorSystem<?> system) {
        mSystem = system;
    }

    /** Starts counting now. */
    public static FaultSwitch startedNow(ActorSystem<?> system, List<TimedFault> faults) {
        FaultSwitch faultSwitch = new FaultSwitch(system);
        faults.forEach(
                f ->
                        faultSwitch.mTimer.schedule(
                                () -> faultSwitch.set(f), f.atMs(), TimeUnit.MILLISECONDS));
        return faultSwitch;
    }

    private void set(TimedFault fault) {
        HttpRequest request =
                HttpRequest.create(fault.uri())
                        .withMethod(HttpMethods.lookup(fault.method()).orElse(HttpMethods.POST))
                        .withEntity(ContentTypes.APPLICATION_JSON, fault.body());
        Http.get(mSystem)
                .singleRequest(request)
                .whenComplete(
                        (response, e) -> {
                            if (e == null) {
                                response.discardEntityBytes(mSystem);
                            }
                            LOG.log(
                                    System.Logger.Level.INFO,
                                    "load: Fault {0} {1} at {2} ms: {3}.",
                                    fault.method(),
                                    fault.uri(),
                                    fault.atMs(),
                                    e == null ? response.status() : e);
                        });
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
