/** Carries out fleet decisions and serves the administration API. */
package org.foxtailplank.controller;
