package org.foxtailplank.entry.internal.idempotency;

import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.KeyIssuer;
import org.foxtailplank.platform.PlatformLog;

/** What the keeper of keys works with. */
record KeyParts(
        Claimant self,
        KeyOptions options,
        KeyIssuer issuer,
        PlatformLog log,
        ClaimPeers peers,
        KeyGauges gauges,
        KeyClock clock) {}
