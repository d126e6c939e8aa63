package org.fuchsialever.decisions.samples;

/**
 * A sample that is ready to be stored.
 *
 * @param id its identity
 * @param sample text and provenance
 * @param score the judge's score
 */
public record JudgedSample(SampleId id, GeneratedSample sample, double score) {}
