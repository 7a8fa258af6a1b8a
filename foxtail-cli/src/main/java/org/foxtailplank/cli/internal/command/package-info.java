/** How a command of the operators' program is named, found, read and run. */
package org.foxtailplank.cli.internal.command;
