/** Planning of which VMs are powered on and which move to another pool. */
package org.foxtailplank.internal.buffer;
