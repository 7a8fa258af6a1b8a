/**
 * A node of the system. Every node accepts callers' jobs; one at a time owns all jobs and sends
 * commands to the workers.
 *
 * <p>{@code Node} assembles the components, which all run on one event loop thread.
 */
package org.foxtailplank.node;
