/**
 * Usage totals of instances, and the figures of usage windows, which are fixed before they are
 * reported.
 */
@NullMarked
package org.fuchsialever.decisions.usage;

import org.jspecify.annotations.NullMarked;
