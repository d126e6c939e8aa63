/** The HTTP adapter to the platform. */
@NullMarked
package org.fuchsialever.services.http;

import org.jspecify.annotations.NullMarked;
