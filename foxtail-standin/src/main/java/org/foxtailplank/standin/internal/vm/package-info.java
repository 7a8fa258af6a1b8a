/** The platform's VMs and the backend servers on them. */
package org.foxtailplank.standin.internal.vm;
