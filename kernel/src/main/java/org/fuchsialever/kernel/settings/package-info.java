/** Reading of typed values from INI settings, with a finding for each problem. */
@NullMarked
package org.fuchsialever.kernel.settings;

import org.jspecify.annotations.NullMarked;
