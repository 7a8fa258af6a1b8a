/** Sends planned requests at their intended times and records what became of them. */
package org.foxtailplank.load.internal.run;
