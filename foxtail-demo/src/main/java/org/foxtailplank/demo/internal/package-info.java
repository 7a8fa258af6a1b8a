/** What the demo embeds, does and checks. */
package org.foxtailplank.demo.internal;
