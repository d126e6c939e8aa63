/** Journals of open intents in the table service. */
@NullMarked
package org.fuchsialever.node.intent;

import org.jspecify.annotations.NullMarked;
