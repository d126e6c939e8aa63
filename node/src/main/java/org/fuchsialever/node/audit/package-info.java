/** Recording and storing of audit records. */
@NullMarked
package org.fuchsialever.node.audit;

import org.jspecify.annotations.NullMarked;
