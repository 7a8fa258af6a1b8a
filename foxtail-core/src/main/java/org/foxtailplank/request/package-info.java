/** Vocabulary of callers' requests and their outcomes. */
package org.foxtailplank.request;
