package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** Requests of one trainer that wait for samples, and the time for which it has waited. */
final class PendingPolls {
    private static final long NOT_IDLE = -1;

    private final List<Poll> polls = new ArrayList<>();
    private long idleSince = NOT_IDLE;

    void add(RolloutEvent.SamplesRequested request, long now) {
        polls.add(
                new Poll(
                        request.request(),
                        request.cursor(),
                        request.limit(),
                        now,
                        now + request.waitNanos()));
    }

    int size() {
        return polls.size();
    }

    /** Lets each request take what it can get and ends those whose time is over. */
    void serveAll(InvocationContext turn, PollHandler server) {
        Iterator<Poll> iterator = polls.iterator();
        while (iterator.hasNext()) {
            Poll poll = iterator.next();
            long idle = idleSince == NOT_IDLE ? 0 : turn.now() - idleSince;
            if (server.handle(poll, idle)) {
                idleSince = NOT_IDLE;
                iterator.remove();
            } else {
                idleSince = idleSince == NOT_IDLE ? poll.startedAt : idleSince;
            }
        }
        endExpired(turn);
    }

    /** Answers requests whose time is over without samples. */
    void endExpired(InvocationContext turn) {
        polls.removeIf(
                poll -> {
                    boolean over = poll.deadline <= turn.now();
                    if (over) {
                        turn.emit(
                                new RolloutAction.Deliver(
                                        turn.trainer(),
                                        poll.request,
                                        poll.cursor,
                                        List.of(),
                                        0,
                                        0));
                    }
                    return over;
                });
    }

    void refuseAll(InvocationContext turn) {
        for (Poll poll : polls) {
            turn.emit(
                    new RolloutAction.Refuse(
                            turn.trainer(), poll.request, RolloutRefusal.NOT_HOLDER));
        }
        polls.clear();
    }

    long nextTimer() {
        return polls.stream().mapToLong(Poll::deadline).min().orElse(Duty.NO_TIMER);
    }

    /** Gives samples to a request if there are any. */
    @FunctionalInterface
    interface PollHandler {
        boolean handle(Poll poll, long idleNanos);
    }

    record Poll(long request, long cursor, int limit, long startedAt, long deadline) {}
}
