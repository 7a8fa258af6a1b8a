/** What the binaries share: command line, exit codes, logs, health and metrics. */
package org.foxtailplank.process;
