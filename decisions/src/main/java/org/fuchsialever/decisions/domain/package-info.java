/** Decides when calls leave the failure domain of their instance, and for which other one. */
@NullMarked
package org.fuchsialever.decisions.domain;

import org.jspecify.annotations.NullMarked;
