/** Records of the platform's log and the state folded from them. */
package org.foxtailplank.state;
