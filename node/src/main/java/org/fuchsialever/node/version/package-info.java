/** Has upstreams load the weight versions that trainers announce. */
@NullMarked
package org.fuchsialever.node.version;

import org.jspecify.annotations.NullMarked;
