/** Parts that make one process of the system out of its roles. */
package org.foxtailplank.entry.internal.node;
