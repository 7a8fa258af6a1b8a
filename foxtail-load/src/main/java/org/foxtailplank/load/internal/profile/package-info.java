/** What callers of a deployment ask for, and when. */
package org.foxtailplank.load.internal.profile;
