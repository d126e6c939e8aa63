/** The mirror of the tables that operators and upstreams write. */
@NullMarked
package org.fuchsialever.decisions.directory;

import org.jspecify.annotations.NullMarked;
