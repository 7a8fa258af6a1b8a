/** Chooses the backend server that a request is sent to. */
package org.foxtailplank.internal.routing;
