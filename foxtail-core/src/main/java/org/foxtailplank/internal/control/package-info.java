/** Decisions of a controller: when to take an epoch, and the next step of a pending intent. */
package org.foxtailplank.internal.control;
