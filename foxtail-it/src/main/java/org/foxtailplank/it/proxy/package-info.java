/** A TCP proxy that injects faults. */
package org.foxtailplank.it.proxy;
