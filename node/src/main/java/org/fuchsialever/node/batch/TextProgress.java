package org.fuchsialever.node.batch;

import java.util.List;

/**
 * Events of a text since the last report.
 *
 * @param firstEvent number of the first event
 * @param events the data of the events
 * @param versions the weight versions that generated them
 */
record TextProgress(long firstEvent, List<String> events, List<Long> versions) {}
