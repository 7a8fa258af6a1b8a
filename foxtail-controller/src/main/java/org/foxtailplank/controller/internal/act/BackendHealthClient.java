package org.foxtailplank.controller.internal.act;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.internal.control.BackendReport;

/** Fetches health reports from backend servers. */
@FunctionalInterface
public interface BackendHealthClient {
    /** Returns the health report of a backend server; empty if it does not respond. */
    CompletionStage<Optional<BackendReport>> fetch(InetSocketAddress address);
}
