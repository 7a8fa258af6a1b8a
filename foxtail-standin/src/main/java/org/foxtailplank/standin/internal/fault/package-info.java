/** Faults that are switched on over HTTP. */
package org.foxtailplank.standin.internal.fault;
