/** The commands of foxtail-load and their options. */
package org.foxtailplank.load.internal.command;
