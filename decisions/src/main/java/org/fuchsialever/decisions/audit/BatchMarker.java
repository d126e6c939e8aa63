package org.fuchsialever.decisions.audit;

import java.util.Locale;

/** Position of a batch among those of one start of an instance. */
public enum BatchMarker {
    /** The first batch of a start. */
    START,
    /** A batch between the first and the last one. */
    NONE,
    /** The last batch of a start that was shut down gracefully. */
    END;

    /** Returns the text in the header of a batch. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
