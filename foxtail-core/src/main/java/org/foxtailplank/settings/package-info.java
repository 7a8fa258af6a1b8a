/** The settings of a deployment: types, merging, checking and their origin. */
package org.foxtailplank.settings;
