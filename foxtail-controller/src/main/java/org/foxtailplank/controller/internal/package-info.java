/** Classes shared by the controller's packages. */
package org.foxtailplank.controller.internal;
