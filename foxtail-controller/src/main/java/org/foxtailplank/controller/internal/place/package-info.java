/** Carries out placement: tasks are started, renewed, stopped and recorded. */
package org.foxtailplank.controller.internal.place;
