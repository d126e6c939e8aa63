package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** Open long polls of one trainer, and the time for which the trainer has been idle. */
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

    /** Serves each poll for which samples are available and ends expired ones. */
    void serveAll(InvocationContext context, PollHandler server) {
        Iterator<Poll> iterator = polls.iterator();
        while (iterator.hasNext()) {
            Poll poll = iterator.next();
            long idle = idleSince == NOT_IDLE ? 0 : context.now() - idleSince;
            if (server.handle(poll, idle)) {
                idleSince = NOT_IDLE;
                iterator.remove();
            } else {
                idleSince = idleSince == NOT_IDLE ? poll.startedAt : idleSince;
            }
        }
        endExpired(context);
    }

    /** Answers expired polls with an empty delivery. */
    void endExpired(InvocationContext context) {
        polls.removeIf(
                poll -> {
                    boolean over = poll.deadline <= context.now();
                    if (over) {
                        context.emit(
                                new RolloutAction.Deliver(
                                        context.trainer(),
                                        poll.request,
                                        poll.cursor,
                                        List.of(),
                                        0,
                                        0));
                    }
                    return over;
                });
    }

    void refuseAll(InvocationContext context) {
        for (Poll poll : polls) {
            context.emit(
                    new RolloutAction.Refuse(
                            context.trainer(), poll.request, RolloutRefusal.NOT_HOLDER));
        }
        polls.clear();
    }

    long nextTimer() {
        return polls.stream().mapToLong(Poll::deadline).min().orElse(Duty.NO_TIMER);
    }

    /** Delivers samples to a poll; returns false if none are available. */
    @FunctionalInterface
    interface PollHandler {
        boolean handle(Poll poll, long idleNanos);
    }

    record Poll(long request, long cursor, int limit, long startedAt, long deadline) {}
}
