package org.foxtailplank.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.adapter.standin.UsersStandin;
import org.foxtailplank.it.process.FreePorts;
import org.foxtailplank.it.process.RunningProcess;
import org.foxtailplank.it.proxy.FaultProxy;
import org.foxtailplank.node.NodeMain;

/** A real node's process, with a proxy of its own before the store and the VM service. */
final class SoakNode implements AutoCloseable {
    private static final int PORTS = 4;

    /** Exit statuses after SIGTERM and SIGKILL. */
    private static final Set<Integer> ORDERED_ENDS = Set.of(0, 128 + 15, 128 + 9);

    private static final int LEASE_MS = 6000;

    /** Longest time that a worker takes to stop a run, in milliseconds. */
    private static final int STOP_MS = 200;

    /** Time from the revocation of a key until no node accepts it, in milliseconds. */
    private static final int KEY_REVOCATION_MS = 5000;

    private final String mName;
    private final String mZone;
    private final String mIp;
    private final Path mFolder;
    private final boolean mTokensChecked;
    private final String mLinkMbps;
    private final long mRetentionS;
    private final FaultProxy mStore;
    private final FaultProxy mVms;
    private List<Integer> mPorts;
    private Optional<RunningProcess> mProcess = Optional.empty();
    private volatile int mBoots;
    private final Takeovers mTakeovers = new Takeovers();
    private final List<Integer> mOwnEnds = new ArrayList<>();
    private boolean mGone;
    private int mGrace = 6;

    SoakNode(
            String name,
            String zone,
            String ip,
            Path folder,
            UsersStandin platform,
            boolean tokensChecked,
            String linkMbps,
            long retentionS)
            throws IOException {
        mIp = ip;
        mName = name;
        mZone = zone;
        mFolder = folder;
        mTokensChecked = tokensChecked;
        mLinkMbps = linkMbps;
        mRetentionS = retentionS;
        mStore = FaultProxy.before(platform.openStore(name));
        mVms = FaultProxy.before(platform.vmServiceAddress());
        mPorts = FreePorts.on(mIp, PORTS);
    }

    String name() {
        return mName;
    }

    String zone() {
        return mZone;
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(mIp, mPorts.get(0));
    }

    Path output() {
        return mFolder.resolve(mName + ".log");
    }

    /** When it took ownership last, as its log tells; 0 if it never did. */
    long ownsSinceMs() throws IOException {
        return Files.exists(output()) ? mTakeovers.latestMs(output()) : 0;
    }

    /** Starts it, unless it runs or never comes back. */
    synchronized void start() throws IOException {
        if (mGone || isRunning()) {
            return;
        }
        noteOwnEnd();
        Path settings = mFolder.resolve(mName + ".json");
        Files.writeString(settings, settings());
        mBoots++;
        mProcess =
                Optional.of(
                        RunningProcess.start(
                                output(), NodeMain.class, List.of(settings.toString())));
    }

    private void noteOwnEnd() {
        mProcess.map(RunningProcess::exitStatus)
                .filter(s -> s.isPresent() && !ORDERED_ENDS.contains(s.getAsInt()))
                .ifPresent(s -> mOwnEnds.add(s.getAsInt()));
    }

    /** Exit statuses of its processes that ended by themselves; asked once, at the end. */
    synchronized List<Integer> ownEnds() {
        noteOwnEnd();
        return List.copyOf(mOwnEnds);
    }

    /** Changes its settings file and tells it so. */
    synchronized void reload() throws IOException, InterruptedException {
        mGrace = mGrace == 6 ? 7 : 6;
        Files.writeString(mFolder.resolve(mName + ".json"), settings());
        if (isRunning()) {
            mProcess.get().reload();
        }
    }

    /** Its next start is at other ports. */
    synchronized void moveElsewhere() throws IOException {
        mPorts = FreePorts.on(mIp, PORTS);
    }

    private String settings() {
        return String.format(
                "{\"node\":{\"name\":\"%s\",\"zone\":\"%s\",\"linkMbps\":%s,\"graceS\":%d},"
                        + "\"listen\":{\"callers\":\"%s\",\"readiness\":\"%s\","
                        + "\"metrics\":\"%s\",\"peers\":\"%s\"},"
                        + "\"platform\":{\"store\":\"%s\",\"vms\":\"%s\",\"advice\":\"\","
                        + "\"keepS\":%d,\"parts\":8,\"vmTokensChecked\":%b},"
                        + "\"worker\":{\"orders\":\"call\",\"leaseMs\":%d,"
                        + "\"stopMs\":%d},\"callers\":{\"keyRevocationMs\":%d},"
                        + "\"jobs\":{\"statusS\":120,\"earlyMs\":250}}",
                mName,
                mZone,
                mLinkMbps,
                mGrace,
                port(0),
                port(1),
                port(2),
                port(3),
                address(mStore.address()),
                address(mVms.address()),
                mRetentionS,
                mTokensChecked,
                LEASE_MS,
                STOP_MS,
                KEY_REVOCATION_MS);
    }

    private String port(int number) {
        return mIp + ':' + mPorts.get(number);
    }

    private static String address(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    synchronized boolean isRunning() {
        return mProcess.map(RunningProcess::isAlive).orElse(false);
    }

    /** How often its process was started. */
    int boots() {
        return mBoots;
    }

    boolean isGone() {
        return mGone;
    }

    /** It never comes back. */
    void gone() {
        mGone = true;
    }

    /** Its process; empty before its first start. */
    Optional<RunningProcess> process() {
        return mProcess;
    }

    FaultProxy store() {
        return mStore;
    }

    FaultProxy vms() {
        return mVms;
    }

    @Override
    public void close() {
        mProcess.ifPresent(RunningProcess::close);
        mStore.close();
        mVms.close();
    }
}
