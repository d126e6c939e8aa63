/** A planned stop: what is still taken, what is waited for, and when it ends. */
@NullMarked
package org.fuchsialever.decisions.stop;

import org.jspecify.annotations.NullMarked;
