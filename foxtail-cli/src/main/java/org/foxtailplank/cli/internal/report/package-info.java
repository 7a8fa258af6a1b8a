/** Reports for operators. */
package org.foxtailplank.cli.internal.report;
