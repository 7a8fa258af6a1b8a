/** Task placement: starts and stops tasks, renews their leases and records their outcomes. */
package org.foxtailplank.controller.internal.place;
