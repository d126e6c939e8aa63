package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;

/**
 * All groups of one step of a trainer.
 *
 * @param model the model that generates the samples
 * @param maxStaleness how many weight versions the oldest token of a sample may lag behind the
 *     newest version
 * @param deadlineNanos target duration of the step, in nanoseconds
 * @param team the team that pays
 * @param route the rollout route
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

    /** Returns a copy with the name of its stored object. */
    public Submission withObject(String name) {
        return new Submission(
                trainer, step, model, maxStaleness, deadlineNanos, team, route, groups, name);
    }

    /** Returns the number of samples of all groups. */
    public int sampleCount() {
        return groups.stream().mapToInt(GroupSpec::samples).sum();
    }
}
