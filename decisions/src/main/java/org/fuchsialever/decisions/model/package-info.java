/** Names and IDs that all decisions share. */
@NullMarked
package org.fuchsialever.decisions.model;

import org.jspecify.annotations.NullMarked;
