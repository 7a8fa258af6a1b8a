package org.foxtailplank.platform;

import java.net.URI;
import java.time.Duration;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.platform.internal.http.HttpLog;
import org.foxtailplank.platform.internal.http.HttpVms;
import org.foxtailplank.platform.internal.http.HttpWorkers;
import org.foxtailplank.platform.internal.http.PlatformCalls;

/** The clients of a platform that speaks the HTTP interface of {@code docs/PLATFORM.md}. */
public final class HttpPlatform {

    private final PlatformLog mLog;
    private final HttpVms mVms;
    private final Workers mWorkers;

    private HttpPlatform(PlatformCalls calls) {
        mLog = new HttpLog(calls);
        mVms = new HttpVms(calls);
        mWorkers = new HttpWorkers(calls);
    }

    /** Clients of the platform at an address; a call unanswered after the timeout fails. */
    public static HttpPlatform at(
            URI address, Duration timeout, ClassicActorSystemProvider system) {
        return new HttpPlatform(new PlatformCalls(address, timeout, system));
    }

    /** The append-only log. */
    public PlatformLog log() {
        return mLog;
    }

    /** The VMs. */
    public VmDirectory vms() {
        return mVms;
    }

    /** Actions on VMs. */
    public VmActions vmActions() {
        return mVms;
    }

    /** The workers. */
    public Workers workers() {
        return mWorkers;
    }
}
