/** Results of runs: JSON, comparison and plots. */
package org.foxtailplank.load.internal.result;
