/** Rolling update of the engines of a model, and rollback of versions that fail to load. */
@NullMarked
package org.fuchsialever.decisions.weights;

import org.jspecify.annotations.NullMarked;
