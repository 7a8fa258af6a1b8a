/** Small stand-ins of the platform and of backend servers, with faults to switch on. */
package org.foxtailplank.standin;
