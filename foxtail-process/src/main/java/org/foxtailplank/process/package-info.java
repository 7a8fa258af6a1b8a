/** Command line, exit codes, logging, health and metrics shared by all programs. */
package org.foxtailplank.process;
