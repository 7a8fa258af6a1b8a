/** The platform's workers and their tasks. */
package org.foxtailplank.standin.internal.worker;
