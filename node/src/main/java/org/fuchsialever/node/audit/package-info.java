/** Storing of audit records. */
@NullMarked
package org.fuchsialever.node.audit;

import org.jspecify.annotations.NullMarked;
