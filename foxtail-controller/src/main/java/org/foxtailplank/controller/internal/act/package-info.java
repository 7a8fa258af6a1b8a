/** The control loop of a shard: epochs, intents, and the calls to the platform that follow them. */
package org.foxtailplank.controller.internal.act;
