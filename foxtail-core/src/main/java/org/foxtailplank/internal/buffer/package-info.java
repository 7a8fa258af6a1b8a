/** Which VMs of a pool are powered on, and which move to another pool. */
package org.foxtailplank.internal.buffer;
