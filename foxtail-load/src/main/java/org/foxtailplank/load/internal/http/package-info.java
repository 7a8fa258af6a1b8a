/** Sends requests over HTTP, and switches faults on stand-ins. */
package org.foxtailplank.load.internal.http;
