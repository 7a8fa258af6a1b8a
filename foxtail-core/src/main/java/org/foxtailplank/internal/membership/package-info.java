/** Decides who counts as a member from heartbeats, and whom to send the next heartbeats to. */
package org.foxtailplank.internal.membership;
