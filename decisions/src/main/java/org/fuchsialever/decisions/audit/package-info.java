/** Audit records in batches that are chained by hashes, and their verification. */
@NullMarked
package org.fuchsialever.decisions.audit;

import org.jspecify.annotations.NullMarked;
