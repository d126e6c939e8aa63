/** Commands for the tables of routes and pools. */
@NullMarked
package org.fuchsialever.cli.tables;

import org.jspecify.annotations.NullMarked;
