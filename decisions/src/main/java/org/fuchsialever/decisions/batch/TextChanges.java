package org.fuchsialever.decisions.batch;

import java.util.List;

/**
 * Changes of stored segments that are part of a commit.
 *
 * @param saved the segments to store
 * @param removed the segments to remove
 */
public record TextChanges(List<TextSegment> saved, List<TextKey> removed) {
    /** No change. */
    public static final TextChanges NONE = new TextChanges(List.of(), List.of());

    /** Copies the lists. */
    public TextChanges {
        saved = List.copyOf(saved);
        removed = List.copyOf(removed);
    }
}
