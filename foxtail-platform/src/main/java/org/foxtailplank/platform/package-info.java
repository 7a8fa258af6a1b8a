/** Clients of the platform's HTTP interface, and the state followed from its log. */
package org.foxtailplank.platform;
