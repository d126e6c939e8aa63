/** HTTP endpoints of an instance: calls, health, readiness and metrics. */
@NullMarked
package org.fuchsialever.node.http;

import org.jspecify.annotations.NullMarked;
