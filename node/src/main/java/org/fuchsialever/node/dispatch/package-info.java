/** Joins the dispatch duty with callers and upstreams. */
@NullMarked
package org.fuchsialever.node.dispatch;

import org.jspecify.annotations.NullMarked;
