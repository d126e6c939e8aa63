package org.fuchsialever.decisions.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** In which order the items of a step start and are scored. */
public enum StepOrder {
    /** Texts that were begun, then the longest expected ones, whatever their group. */
    LONGEST_FIRST {
        @Override
        public List<RankedItem> order(
                List<StepItem> items, int targetGroupCount, StepPressure pressure) {
            return sorted(items, Set.of(), BEGUN_FIRST.thenComparing(LONGEST));
        }

        @Override
        public long scoringRank(
                long itemRank, long due, long spareDelay, StepGroups groups, String group) {
            return itemRank;
        }
    },
    /**
     * By what the step still needs, if its pool is short. Items beyond the target come last. A step
     * that can be complete in time starts the longest items first, as they decide its end; one that
     * cannot completes one group after the other. Texts are scored group by group.
     */
    NEEDED_FIRST {
        @Override
        public List<RankedItem> order(
                List<StepItem> items, int targetGroupCount, StepPressure pressure) {
            if (!pressure.isShort()) {
                return LONGEST_FIRST.order(items, targetGroupCount, pressure);
            }
            StepGroups groups = new StepGroups(items, targetGroupCount);
            Comparator<StepItem> order = BEGUN_FIRST.thenComparing(LONGEST);
            Set<String> spare = groups.spareGroups();
            if (pressure.isLate()) {
                order = groups.leastWorkFirst().thenComparing(order);
                spare.addAll(groups.groupsTooLate(spare, pressure.partInTime()));
            }
            return sorted(items, spare, order);
        }

        @Override
        public long scoringRank(
                long itemRank, long due, long spareDelay, StepGroups groups, String group) {
            int ahead = groups.groupsAhead(group);
            return due + ahead + (ahead < groups.targetGroupCount() ? 0 : spareDelay);
        }
    };

    private static final Comparator<StepItem> BEGUN_FIRST =
            Comparator.comparing(item -> !item.begun());

    private static final Comparator<StepItem> LONGEST =
            Comparator.comparingLong(item -> -item.expectedTokens());

    /**
     * Returns the items without a result in the order of their start.
     *
     * @param items all items of the step
     * @param targetGroupCount the number of groups that the trainer waits for, 0 for all
     * @param pressure how much work waits before the pool
     */
    public abstract List<RankedItem> order(
            List<StepItem> items, int targetGroupCount, StepPressure pressure);

    /**
     * Returns the queue rank of the scoring call of an item; smaller ranks run first.
     *
     * @param itemRank queue rank of the item itself
     * @param due queue rank of the first item of the step
     * @param spareDelay what is added to the rank of groups that the step does not need
     * @param groups the groups of the step
     * @param group the group of the item
     */
    public abstract long scoringRank(
            long itemRank, long due, long spareDelay, StepGroups groups, String group);

    private static List<RankedItem> sorted(
            List<StepItem> items, Set<String> spare, Comparator<StepItem> order) {
        List<StepItem> open = new ArrayList<>(items);
        open.removeIf(StepItem::finished);
        open.sort(
                Comparator.comparing((StepItem item) -> spare.contains(item.group()))
                        .thenComparing(order)
                        .thenComparing(StepItem::index));
        return open.stream()
                .map(item -> new RankedItem(item.index(), spare.contains(item.group())))
                .toList();
    }
}
