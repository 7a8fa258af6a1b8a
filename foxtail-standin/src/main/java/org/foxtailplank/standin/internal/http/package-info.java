/** A small HTTP server whose answers can be delayed, cut short, swapped or left out. */
package org.foxtailplank.standin.internal.http;
