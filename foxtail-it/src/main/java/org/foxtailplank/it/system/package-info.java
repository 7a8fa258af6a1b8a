/** A small deployment of real processes behind proxies, and callers that record what they see. */
package org.foxtailplank.it.system;
