/** How records of the log are turned into protobuf and back. */
package org.foxtailplank.wire.internal.records;
