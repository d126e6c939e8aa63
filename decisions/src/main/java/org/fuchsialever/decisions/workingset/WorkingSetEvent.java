package org.fuchsialever.decisions.workingset;

import io.vavr.control.Option;
import java.util.List;

/** Event that the duty of the working set handles. */
public sealed interface WorkingSetEvent {

    /** Slots were written or removed. */
    record SlotsChanged(List<MemberSlot> slots, List<Integer> removed) implements WorkingSetEvent {

        /** Copies the lists. */
        public SlotsChanged {
            slots = List.copyOf(slots);
            removed = List.copyOf(removed);
        }
    }

    /** All changes of slots up to now have been read. */
    record SlotsCurrent() implements WorkingSetEvent {}

    /** The slot was written and its row has this version. */
    record Written(int slot, long version) implements WorkingSetEvent {}

    /** The slot was not written, because its row has changed. */
    record Conflicted(int slot, Option<MemberSlot> current) implements WorkingSetEvent {}

    /** The slot may have been written. */
    record WriteFailed(int slot) implements WorkingSetEvent {}

    /** The instance has begun to shut down. */
    record Draining() implements WorkingSetEvent {}
}
