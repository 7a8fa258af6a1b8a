/** Commands that publish and compare configurations. */
package org.foxtailplank.cli.internal.config;
