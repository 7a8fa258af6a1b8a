/** The way of a request through one entry: its turn, its instance, its attempts. */
package org.foxtailplank.internal.dispatch;
