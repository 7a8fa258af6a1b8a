/** For how long an owner may act where nobody checks its fencing token. */
package org.foxtailplank.lease;
