/** Batch submissions on the row store and the object store. */
@NullMarked
package org.fuchsialever.node.batch;

import org.jspecify.annotations.NullMarked;
