package org.fuchsialever.node.directory;

/** How often this instance reads the mirrored tables. */
@FunctionalInterface
public interface ReadPace {

    /** Sets whether it reads as often as a member of the working set. */
    void setMember(boolean member);
}
