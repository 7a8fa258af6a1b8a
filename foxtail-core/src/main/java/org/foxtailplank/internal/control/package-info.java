/** When a controller tries for an epoch, and what it does next for an intent that is pending. */
package org.foxtailplank.internal.control;
