package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * One position of the order of delivery.
 *
 * @param id the sample
 * @param object the stored object that holds its body
 * @param slot its index within the object
 * @param oldest the oldest version that produced one of its tokens
 */
public record BatchEntry(SampleId id, String object, int slot, WeightVersion oldest) {}
