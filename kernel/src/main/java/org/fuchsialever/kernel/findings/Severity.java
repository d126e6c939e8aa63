package org.fuchsialever.kernel.findings;

/** How serious a finding is. */
public enum Severity {
    /** The input cannot be used. */
    ERROR,
    /** The input can be used but is probably a mistake. */
    WARNING;

    /** Returns the name in lower case, for output. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
