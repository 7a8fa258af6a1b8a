/** Which of the system's own processes are there, and what each says of itself. */
package org.foxtailplank.membership;
