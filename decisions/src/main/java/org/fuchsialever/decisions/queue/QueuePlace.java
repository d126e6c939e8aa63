package org.fuchsialever.decisions.queue;

import java.util.Comparator;

/**
 * What decides when a waiting call gets a slot.
 *
 * @param team the team that it runs for
 * @param rank rank among the teams and routes of the service, 0 is the most urgent
 * @param stage among calls of equal rank, later stages of a text go first; smaller values are later
 *     stages
 * @param order smaller values go first within a stage
 * @param number unique number, which decides between equals
 * @param cost what it takes of its team's share, in steps for items and scoring, else in calls
 * @param room calls with equal values find room at the same upstreams
 */
public record QueuePlace(
        String team, int rank, int stage, long order, long number, double cost, Object room) {
    static final Comparator<QueuePlace> BY_ORDER =
            Comparator.comparingInt(QueuePlace::stage)
                    .thenComparingLong(QueuePlace::order)
                    .thenComparingLong(QueuePlace::number);
}
