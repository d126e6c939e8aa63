/** Names and identities that all decisions share. */
@NullMarked
package org.fuchsialever.decisions.model;

import org.jspecify.annotations.NullMarked;
