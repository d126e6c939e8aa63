package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * One position in the delivery order.
 *
 * @param id the sample
 * @param object the stored object that holds its body
 * @param slot index of the sample within the object
 * @param oldest the oldest weight version that generated one of its tokens
 */
public record BatchEntry(SampleId id, String object, int slot, WeightVersion oldest) {}
