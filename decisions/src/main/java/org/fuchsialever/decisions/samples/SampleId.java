package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.TrainerName;

/**
 * Identifies a sample; the same for all attempts to generate it.
 *
 * @param trainer the trainer that requested it
 * @param step the trainer's step
 * @param group the group within the step
 * @param index the index within the group
 */
public record SampleId(TrainerName trainer, long step, String group, int index) {

    @Override
    public String toString() {
        return trainer + "/" + step + "/" + group + "/" + index;
    }
}
