/** The routes, services, limits and teams that the operator of a hosted deployment declares. */
@NullMarked
package org.fuchsialever.decisions.manifest;

import org.jspecify.annotations.NullMarked;
