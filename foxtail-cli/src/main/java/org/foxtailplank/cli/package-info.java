/** The operators' command. */
package org.foxtailplank.cli;
