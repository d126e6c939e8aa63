package org.fuchsialever.cli.command;

/** Exit codes of the program, the same for all commands. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The command failed. */
    FAILURE(1, "failed"),
    /** The options or the input files are invalid. */
    USAGE(2, "options or files cannot be used"),
    /** A concurrent change was detected; nothing was changed. */
    CONFLICT(3, "not done, because of a concurrent change"),
    /** The change is made, but not every listed instance has confirmed it. */
    UNCONFIRMED(4, "done, but not confirmed by all listed instances"),
    /** A comparison found differences. */
    DIFFERENT(5, "differences were found");

    private final int mCode;
    private final String mMeaning;

    ExitCode(int code, String meaning) {
        mCode = code;
        mMeaning = meaning;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return mCode;
    }

    /** Returns what the code means, for the help. */
    public String meaning() {
        return mMeaning;
    }
}
