/** The process of one entry instance. */
@NullMarked
package org.fuchsialever.node;

import org.jspecify.annotations.NullMarked;
