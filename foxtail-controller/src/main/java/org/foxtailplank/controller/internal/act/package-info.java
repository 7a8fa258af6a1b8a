/** The control loop of a shard: epochs, intents and the resulting calls to the platform. */
package org.foxtailplank.controller.internal.act;
