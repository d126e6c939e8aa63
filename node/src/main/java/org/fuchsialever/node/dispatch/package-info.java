/** Connects the dispatch duty to callers and upstreams. */
@NullMarked
package org.fuchsialever.node.dispatch;

import org.jspecify.annotations.NullMarked;
