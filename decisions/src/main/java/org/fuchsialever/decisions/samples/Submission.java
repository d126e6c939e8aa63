package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;

/**
 * All groups of one step of a trainer.
 *
 * @param trainer the trainer
 * @param step its step
 * @param model the model that generates
 * @param maxStaleness how many versions the oldest token of a sample may lag behind the newest
 * @param deadlineNanos how long the step should take at most, in nanoseconds
 * @param team the team that pays
 * @param route the rollout route
 * @param groups the groups
 * @param object name of the stored object with this specification; contains its digest, so equal
 *     submissions have equal names
 */
public record Submission(
        TrainerName trainer,
        long step,
        String model,
        int maxStaleness,
        long deadlineNanos,
        TeamName team,
        RouteName route,
        List<GroupSpec> groups,
        String object) {

    /** Copies the groups. */
    public Submission {
        groups = List.copyOf(groups);
    }

    /** Returns the same submission with the name of its stored object. */
    public Submission withObject(String name) {
        return new Submission(
                trainer, step, model, maxStaleness, deadlineNanos, team, route, groups, name);
    }

    /** Returns the number of samples of all groups. */
    public int sampleCount() {
        return groups.stream().mapToInt(GroupSpec::samples).sum();
    }
}
