/** Batch submissions: ownership, items, results and their positions. */
@NullMarked
package org.fuchsialever.decisions.batch;

import org.jspecify.annotations.NullMarked;
