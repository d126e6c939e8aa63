/** Counts calls by team and reports them for each window. */
@NullMarked
package org.fuchsialever.node.metering;

import org.jspecify.annotations.NullMarked;
