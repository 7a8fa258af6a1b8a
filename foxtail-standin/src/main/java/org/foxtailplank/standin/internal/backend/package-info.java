/** Insides of the backend server stand-in. */
package org.foxtailplank.standin.internal.backend;
