package org.fuchsialever.decisions.samples;

/**
 * A sample that is ready to be stored.
 *
 * @param sample the text and the weight versions that produced it
 * @param score the judge's score
 */
public record JudgedSample(SampleId id, GeneratedSample sample, double score) {}
