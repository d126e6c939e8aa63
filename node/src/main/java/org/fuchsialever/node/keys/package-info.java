/** Authentication of callers by keys, and withdrawal of keys. */
@NullMarked
package org.fuchsialever.node.keys;

import org.jspecify.annotations.NullMarked;
