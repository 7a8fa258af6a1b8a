/** How commands call the administration API. */
package org.foxtailplank.cli.internal.admin;
