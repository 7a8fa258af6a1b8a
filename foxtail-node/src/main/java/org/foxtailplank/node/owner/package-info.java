/**
 * Election of the owner of all jobs, and the work of the owner, which executes the decisions of the
 * scheduler.
 */
package org.foxtailplank.node.owner;
