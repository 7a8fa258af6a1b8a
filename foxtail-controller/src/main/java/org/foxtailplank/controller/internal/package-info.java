/** What the parts of the controller share. */
package org.foxtailplank.controller.internal;
