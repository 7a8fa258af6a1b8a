/**
 * The core of foxtailplank: all decisions, without sockets, files, clocks or threads.
 *
 * <p>Public vocabulary lives in the packages {@code id}, {@code request}, {@code settings} and
 * {@code state}; how a decision is reached lives below {@code internal}.
 */
package org.foxtailplank;
