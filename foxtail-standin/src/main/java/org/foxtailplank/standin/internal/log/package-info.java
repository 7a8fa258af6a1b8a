/** The platform's log, held in memory. */
package org.foxtailplank.standin.internal.log;
