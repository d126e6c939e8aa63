/** Rolling updates of weights. */
@NullMarked
package org.fuchsialever.node.weights;

import org.jspecify.annotations.NullMarked;
