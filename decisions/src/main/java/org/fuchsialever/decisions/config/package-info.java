/** Route table and pool table, their validation, and the snapshot in force. */
@NullMarked
package org.fuchsialever.decisions.config;

import org.jspecify.annotations.NullMarked;
