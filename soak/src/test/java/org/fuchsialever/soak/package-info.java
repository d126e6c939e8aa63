/**
 * A soak that runs instances as separate processes, disturbs them from outside and checks the
 * promises that callers and upstreams can see.
 */
@NullMarked
package org.fuchsialever.soak;

import org.jspecify.annotations.NullMarked;
