package org.fuchsialever.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The disturbances of one run, which follow from its seed. They come in series and overlap. */
final class FaultPlan {
    private static final int FEWEST_FAULTS = 10;
    private static final int MORE_FAULTS = 9;
    private static final int SHORTEST_MILLIS = 200;
    private static final int LONGER_MILLIS = 3_800;

    private FaultPlan() {}

    /** A disturbance with its begin and its length in milliseconds. */
    record Entry(SoakFault fault, int atMillis, int lengthMillis) {}

    /** Returns the disturbances that begin within a time, in the order of their begin. */
    static List<Entry> of(SplittableRandom random, int withinMillis) {
        List<Entry> entries = new ArrayList<>();
        int count = FEWEST_FAULTS + random.nextInt(MORE_FAULTS);
        SoakFault[] faults = SoakFault.values();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new Entry(
                            faults[random.nextInt(faults.length)],
                            random.nextInt(withinMillis),
                            SHORTEST_MILLIS + random.nextInt(LONGER_MILLIS)));
        }
        entries.sort(Comparator.comparingInt(Entry::atMillis));
        return entries;
    }
}
