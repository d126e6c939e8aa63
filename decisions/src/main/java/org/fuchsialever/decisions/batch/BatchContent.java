package org.fuchsialever.decisions.batch;

/**
 * What instances know of the content of a submission without reading it.
 *
 * @param model the model that generates its texts
 * @param minVersion the oldest weight version allowed
 * @param copyNumber the number of the object that holds what was submitted, from 0
 */
public record BatchContent(String model, long minVersion, int copyNumber) {}
