/** The tables of routes and pools, their checks and the snapshot in force. */
@NullMarked
package org.fuchsialever.decisions.config;

import org.jspecify.annotations.NullMarked;
