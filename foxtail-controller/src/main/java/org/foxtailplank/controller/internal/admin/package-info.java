/** The administration API. */
package org.foxtailplank.controller.internal.admin;
