/** Rollouts for trainers: groups of samples, their staleness and their delivery order. */
@NullMarked
package org.fuchsialever.decisions.samples;

import org.jspecify.annotations.NullMarked;
