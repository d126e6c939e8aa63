/** Batch submissions: their ownership, items and results in order of position. */
@NullMarked
package org.fuchsialever.decisions.batch;

import org.jspecify.annotations.NullMarked;
