/** Commands on settings files; they call nobody. */
package org.foxtailplank.cli.internal.settings;
