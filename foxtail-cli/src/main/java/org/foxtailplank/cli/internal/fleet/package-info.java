/** Commands on pools, VMs, jobs, teams, waves and nodes. */
package org.foxtailplank.cli.internal.fleet;
