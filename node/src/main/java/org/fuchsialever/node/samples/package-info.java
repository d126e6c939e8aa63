/** Connects the rollout duty to the platform, the engines and the trainers. */
@NullMarked
package org.fuchsialever.node.samples;

import org.jspecify.annotations.NullMarked;
