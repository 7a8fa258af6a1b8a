package org.foxtailplank.controller.internal.act;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.internal.control.BackendReport;

/** Asks backend servers for their own word. */
@FunctionalInterface
public interface BackendHealthClient {
    /** The health answer of a backend server; empty when it gives none. */
    CompletionStage<Optional<BackendReport>> fetch(InetSocketAddress address);
}
