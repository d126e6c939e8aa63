/** Audit records in hash-chained batches, and their verification. */
@NullMarked
package org.fuchsialever.decisions.audit;

import org.jspecify.annotations.NullMarked;
