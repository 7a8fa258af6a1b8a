package org.foxtailplank.platform;

import java.time.Duration;
import org.foxtailplank.platform.internal.fleet.FollowedFleetLog;

/** A fleet log that runs until it is closed. */
public interface FleetFollower extends FleetLog, AutoCloseable {
    /**
     * Starts to follow the platform's log.
     *
     * @param answerTimeout time after which a record whose append was not answered, and which was
     *     not read back, is reported as unknown
     */
    static FleetFollower start(PlatformLog log, Duration answerTimeout) {
        return FollowedFleetLog.follow(log, answerTimeout);
    }

    @Override
    void close();
}
