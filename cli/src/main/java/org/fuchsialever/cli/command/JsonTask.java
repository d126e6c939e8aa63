package org.fuchsialever.cli.command;

import com.beust.jcommander.Parameter;

/** A run of a command that prints data, as text or as one JSON document. */
public abstract class JsonTask extends CommandTask {
    @Parameter(names = "--json", description = "Print one JSON document")
    private boolean mJson;

    /** Returns whether the output is to be one JSON document. */
    protected final boolean isJsonRequested() {
        return mJson;
    }
}
