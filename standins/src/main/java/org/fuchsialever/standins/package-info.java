/** Small stand-ins for upstreams and the platform, spoken to over HTTP on loopback. */
@NullMarked
package org.fuchsialever.standins;

import org.jspecify.annotations.NullMarked;
