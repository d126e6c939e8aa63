/** Weight versions: which upstream gets which version next. */
@NullMarked
package org.fuchsialever.decisions.version;

import org.jspecify.annotations.NullMarked;
