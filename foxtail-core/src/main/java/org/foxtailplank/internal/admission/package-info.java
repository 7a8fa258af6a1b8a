/** Decides which requests wait, which go next and which are refused. */
package org.foxtailplank.internal.admission;
