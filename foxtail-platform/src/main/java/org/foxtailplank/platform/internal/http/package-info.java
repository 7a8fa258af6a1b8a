/** The platform's HTTP interface, spoken through Pekko HTTP. */
package org.foxtailplank.platform.internal.http;
