/** What a shard decides to do next. */
package org.foxtailplank.controller.internal.plan;
