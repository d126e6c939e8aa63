package org.fuchsialever.decisions.batch;

/**
 * Facts about the content of a submission that are part of its state.
 *
 * @param model the model that generates the texts, empty for a plain service
 * @param minVersion the oldest weight version allowed
 * @param copyNumber number of the stored object that holds the content, from 0
 */
public record BatchContent(String model, long minVersion, int copyNumber) {}
