/** The whole system embedded in one process. */
package org.foxtailplank.demo;
