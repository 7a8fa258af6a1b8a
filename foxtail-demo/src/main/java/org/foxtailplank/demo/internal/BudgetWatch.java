package org.foxtailplank.demo.internal;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.VmList;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.Settings;

/** Watches how few instances of each service the platform ever had serving. */
public final class BudgetWatch implements AutoCloseable {

    private static final long INTERVAL_MS = 100;

    private final Settings mSettings;
    private final VmDirectory mVms;
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Map<ServiceId, Long> mFewest = new TreeMap<>();
    private int mLooks;

    private BudgetWatch(Settings settings, VmDirectory vms) {
        mSettings = settings;
        mVms = vms;
    }

    /** Starts to watch. */
    public static BudgetWatch start(PekkoRuntime runtime, DemoSystem system) {
        Settings settings = system.settings();
        HttpPlatform platform =
                HttpPlatform.at(
                        settings.platform().address(),
                        settings.platform().timeout(),
                        runtime.system());
        BudgetWatch watch = new BudgetWatch(settings, platform.vms());
        watch.mTimer.scheduleWithFixedDelay(watch::look, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
        return watch;
    }

    /** Notes whether each service kept its availability budget. */
    public synchronized void check(Promises promises) {
        boolean held =
                mLooks > 0
                        && mFewest.entrySet().stream()
                                .allMatch(e -> e.getValue() >= budget(e.getKey()));
        StringBuilder detail =
                new StringBuilder("fewest serving/budget in ").append(mLooks).append(" looks:");
        mFewest.forEach(
                (s, n) ->
                        detail.append(' ')
                                .append(s)
                                .append(' ')
                                .append(n)
                                .append('/')
                                .append(budget(s)));
        promises.check(
                held, "every service stayed within its availability budget", detail.toString());
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    private int budget(ServiceId service) {
        return mSettings.services().get(service).minAvailable();
    }

    private void look() {
        mVms.list(Optional.empty()).thenAccept(this::count);
    }

    private synchronized void count(VmList list) {
        mLooks++;
        for (ServiceId service : mSettings.services().keySet()) {
            long serving =
                    list.vms().stream()
                            .filter(vm -> !vm.leaving() && vm.power() == VmPower.ON)
                            .filter(vm -> vm.instance().isPresent())
                            .filter(vm -> vm.instance().get().service().equals(service))
                            .count();
            mFewest.merge(service, serving, Math::min);
        }
    }
}
