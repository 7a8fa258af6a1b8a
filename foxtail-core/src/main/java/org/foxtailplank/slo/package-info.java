/** Service-level burn: what each service answered, and how fast it spends its error budget. */
package org.foxtailplank.slo;
