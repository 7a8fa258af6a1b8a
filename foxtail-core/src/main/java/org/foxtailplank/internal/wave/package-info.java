/** Planning of maintenance waves within the availability budgets. */
package org.foxtailplank.internal.wave;
