/** Rollouts for trainers: groups of samples, their staleness, and the order of their delivery. */
@NullMarked
package org.fuchsialever.decisions.samples;

import org.jspecify.annotations.NullMarked;
