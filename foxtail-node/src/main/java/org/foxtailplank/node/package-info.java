/**
 * One node: it takes callers' jobs, and one node at a time owns them all and orders the workers.
 *
 * <p>{@code Node} puts the parts together; all of them run on one thread.
 */
package org.foxtailplank.node;
