/** HTTP API for callers: submits, queries and cancels jobs. */
package org.foxtailplank.node.caller;
