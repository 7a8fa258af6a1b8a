package org.foxtailplank.entry.internal.idempotency;

import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.KeyIssuer;
import org.foxtailplank.platform.PlatformLog;

/** The dependencies of the {@link KeyCoordinatorActor}. */
record KeyParts(
        Claimant self,
        KeyOptions options,
        KeyIssuer issuer,
        PlatformLog log,
        ClaimPeers peers,
        KeyMetrics metrics,
        MonotonicWallClock clock) {}
