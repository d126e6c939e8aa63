/** Usage totals of instances, and usage windows, which are closed before they are reported. */
@NullMarked
package org.fuchsialever.decisions.usage;

import org.jspecify.annotations.NullMarked;
