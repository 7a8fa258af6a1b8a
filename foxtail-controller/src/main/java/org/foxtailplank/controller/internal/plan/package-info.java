/** Planning of the changes of a shard. */
package org.foxtailplank.controller.internal.plan;
