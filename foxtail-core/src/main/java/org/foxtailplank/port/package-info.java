/**
 * What the system needs of the platform it runs on, in its own words.
 *
 * <p>All calls return at once and answer later on the thread that made them. An answer that stays
 * away is itself an answer, after a timeout of the implementation's.
 */
package org.foxtailplank.port;
