package org.foxtailplank.node.admission;

import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;

/**
 * What a report says about a pool.
 *
 * @param capacity capacity and waiting work
 * @param share work that the node may accept until the next report
 * @param part part of the pool's work that the node accepts, in millionths
 */
public record ReportedPool(QueueCapacity capacity, AdmittedShare share, int part) {}
