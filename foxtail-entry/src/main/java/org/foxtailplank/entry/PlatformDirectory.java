package org.foxtailplank.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.VmList;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.platform.VmReport;
import org.foxtailplank.process.Log;
import org.foxtailplank.request.BackendServer;

/** Polls the platform's list of live VMs, and keeps the last list while it is unavailable. */
public final class PlatformDirectory implements Directory {

    private static final Log LOG = Log.of("entry");

    private final VmDirectory mVms;
    private volatile List<BackendServer> mLive = List.of();
    private Cancellable mTimer;
    private Instant mAsOf = Instant.MIN;
    private boolean mRequestInFlight;
    private boolean mUnavailable;

    private PlatformDirectory(VmDirectory vms) {
        mVms = vms;
    }

    /** Starts polling the list. */
    public static PlatformDirectory polling(
            VmDirectory vms, Duration interval, ClassicActorSystemProvider system) {
        PlatformDirectory directory = new PlatformDirectory(vms);
        var actorSystem = system.classicSystem();
        directory.mTimer =
                actorSystem
                        .scheduler()
                        .scheduleWithFixedDelay(
                                Duration.ZERO,
                                interval,
                                directory::request,
                                actorSystem.dispatcher());
        return directory;
    }

    @Override
    public List<BackendServer> live() {
        return mLive;
    }

    /** Stops polling. */
    public void stop() {
        mTimer.cancel();
    }

    private void request() {
        synchronized (this) {
            if (mRequestInFlight) {
                return;
            }
            mRequestInFlight = true;
        }
        mVms.list(Optional.empty()).whenComplete(this::update);
    }

    private synchronized void update(VmList list, Throwable e) {
        mRequestInFlight = false;
        if ((e != null) != mUnavailable) {
            mUnavailable = e != null;
            if (mUnavailable) {
                LOG.warn("The platform's list of live VMs can't be read; the last list is kept.");
            } else {
                LOG.info("The platform's list of live VMs can be read again.");
            }
        }
        // A list from a lagging replica may contain instances that no longer exist.
        if (e != null || list.asOf().isBefore(mAsOf)) {
            return;
        }
        mAsOf = list.asOf();
        List<BackendServer> live =
                list.vms().stream().flatMap(vm -> backendServer(vm).stream()).toList();
        if (!live.equals(mLive)) {
            mLive = live;
        }
    }

    private static Optional<BackendServer> backendServer(VmReport vm) {
        if (vm.leaving() || vm.power() != VmPower.ON) {
            return Optional.empty();
        }
        return vm.instance()
                .map(i -> new BackendServer(vm.id(), i.service(), vm.zone(), i.address()));
    }
}
