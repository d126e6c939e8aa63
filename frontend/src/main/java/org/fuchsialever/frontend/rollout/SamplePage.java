package org.fuchsialever.frontend.rollout;

import java.util.List;
import org.fuchsialever.decisions.samples.JudgedSample;

/**
 * Consecutive samples.
 *
 * @param from position of the first sample
 * @param samples the samples in order of their positions
 */
public record SamplePage(long from, List<JudgedSample> samples) {

    /** Copies the samples. */
    public SamplePage {
        samples = List.copyOf(samples);
    }

    /** Returns the position after the last sample. */
    public long cursor() {
        return from + samples.size();
    }
}
