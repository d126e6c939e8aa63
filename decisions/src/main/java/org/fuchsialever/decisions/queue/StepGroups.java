package org.fuchsialever.decisions.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The groups of a step: what is left of each, and which of them the step needs. Single writer. */
public final class StepGroups {
    private static final Comparator<Group> LEAST_WORK =
            Comparator.comparing((Group group) -> !group.mBegun)
                    .thenComparing(group -> group.mTokens)
                    .thenComparing(group -> group.mOpen)
                    .thenComparing(group -> group.mPosition);

    private final Map<String, Group> mGroups = new LinkedHashMap<>();
    private final Map<Integer, Group> mOpenItems = new HashMap<>();
    private final int mTargetGroupCount;

    /**
     * Creates the groups of a step.
     *
     * @param items all items of the step, in the order of the submission
     * @param targetGroupCount the number of groups that the trainer waits for, 0 for all
     */
    public StepGroups(List<StepItem> items, int targetGroupCount) {
        for (StepItem item : items) {
            Group group = mGroups.computeIfAbsent(item.group(), name -> new Group(mGroups.size()));
            group.add(item);
            if (!item.finished()) {
                mOpenItems.put(item.index(), group);
            }
        }
        mTargetGroupCount =
                targetGroupCount <= 0 ? mGroups.size() : Math.min(targetGroupCount, mGroups.size());
    }

    /** Returns the number of groups that the trainer waits for. */
    public int targetGroupCount() {
        return mTargetGroupCount;
    }

    /** Records that an item has a result. */
    public void finished(int item) {
        Group group = mOpenItems.remove(item);
        if (group != null) {
            group.mOpen--;
        }
    }

    /** Returns the number of groups that are complete or will be with fewer results than this. */
    public int groupsAhead(String name) {
        Group group = group(name);
        int ahead = 0;
        for (Group other : mGroups.values()) {
            boolean nearer =
                    other.mOpen < group.mOpen
                            || other.mOpen == group.mOpen && other.mPosition < group.mPosition;
            ahead += nearer ? 1 : 0;
        }
        return ahead;
    }

    /**
     * Returns the groups beyond the target. Those with the longest expected items are the most
     * likely to end last; a group that has begun is spare only if too few others are. Groups of an
     * earlier step that come back are needed in any case; they come first and are at most half of
     * the target.
     */
    Set<String> spareGroups() {
        List<String> candidates = new ArrayList<>();
        mGroups.forEach(
                (name, group) -> {
                    if (group.mOpen > 0 && group.mPosition >= mTargetGroupCount / 2) {
                        candidates.add(name);
                    }
                });
        Comparator<String> leastLikely =
                Comparator.comparing((String name) -> group(name).mBegun)
                        .thenComparing(name -> -group(name).mLongestTokens)
                        .thenComparing(name -> -group(name).mTokens)
                        .thenComparing(name -> -group(name).mPosition);
        candidates.sort(leastLikely);
        int spare = Math.min(mGroups.size() - mTargetGroupCount, candidates.size());
        return new HashSet<>(candidates.subList(0, spare));
    }

    /**
     * Returns the needed groups with the most work, if only a part of the target can be complete in
     * time.
     *
     * @param spare the groups beyond the target
     * @param partInTime the part of the target that can be complete in time
     */
    Set<String> groupsTooLate(Set<String> spare, double partInTime) {
        List<String> needed = new ArrayList<>(mGroups.keySet());
        needed.removeIf(name -> spare.contains(name) || group(name).mOpen == 0);
        needed.sort((name, other) -> LEAST_WORK.compare(group(name), group(other)));
        int inTime = (int) Math.ceil(mTargetGroupCount * partInTime);
        return new HashSet<>(needed.subList(Math.min(inTime, needed.size()), needed.size()));
    }

    /** Orders items by the work that is left of their groups, those that have begun first. */
    Comparator<StepItem> leastWorkFirst() {
        return (item, other) -> LEAST_WORK.compare(group(item.group()), group(other.group()));
    }

    private Group group(String name) {
        return mGroups.getOrDefault(name, Group.NONE);
    }

    private static final class Group {
        static final Group NONE = new Group(0);

        private final int mPosition;
        private int mOpen;
        private boolean mBegun;
        private long mTokens;
        private long mLongestTokens;

        Group(int position) {
            mPosition = position;
        }

        void add(StepItem item) {
            mBegun |= item.begun() || item.finished();
            if (!item.finished()) {
                mOpen++;
                mTokens += item.expectedTokens();
                mLongestTokens = Math.max(mLongestTokens, item.expectedTokens());
            }
        }
    }
}
