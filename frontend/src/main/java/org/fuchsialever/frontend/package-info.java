/**
 * HTTP front end for callers, trainers and operators, and the interfaces that the node implements.
 */
@NullMarked
package org.fuchsialever.frontend;

import org.jspecify.annotations.NullMarked;
