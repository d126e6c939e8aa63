package org.fuchsialever.decisions.queue;

/**
 * What is done and left of a submission.
 *
 * @param team the team that submitted it
 * @param isOwn whether this instance runs it
 * @param results the number of its items that have a result
 * @param openItems the number of its items that have none, 0 if it has ended
 */
public record OpenWork(String team, boolean isOwn, int results, int openItems) {}
