package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** Open long polls of one trainer, and the time for which the trainer has been idle. */
final class PendingPolls {
    private static final long NOT_IDLE = -1;

    private final List<Poll> mPolls = new ArrayList<>();
    private long mIdleSince = NOT_IDLE;

    void add(RolloutEvent.SamplesRequested request, long now) {
        mPolls.add(
                new Poll(
                        request.request(),
                        request.cursor(),
                        request.limit(),
                        now,
                        now + request.waitNanos()));
    }

    int size() {
        return mPolls.size();
    }

    /** Serves each poll for which samples are available and ends expired ones. */
    void serveAll(InvocationContext context, PollHandler server) {
        Iterator<Poll> iterator = mPolls.iterator();
        while (iterator.hasNext()) {
            Poll poll = iterator.next();
            long idle = mIdleSince == NOT_IDLE ? 0 : context.now() - mIdleSince;
            if (server.handle(poll, idle)) {
                mIdleSince = NOT_IDLE;
                iterator.remove();
            } else {
                mIdleSince = mIdleSince == NOT_IDLE ? poll.startedAt : mIdleSince;
            }
        }
        endExpired(context);
    }

    /** Answers expired polls with an empty delivery. */
    void endExpired(InvocationContext context) {
        mPolls.removeIf(
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
        for (Poll poll : mPolls) {
            context.emit(
                    new RolloutAction.Refuse(
                            context.trainer(), poll.request, RolloutRefusal.NOT_HOLDER));
        }
        mPolls.clear();
    }

    long nextTimer() {
        return mPolls.stream().mapToLong(Poll::deadline).min().orElse(Duty.NO_TIMER);
    }

    /** Delivers samples to a poll; returns false if none are available. */
    @FunctionalInterface
    interface PollHandler {
        boolean handle(Poll poll, long idleNanos);
    }

    record Poll(long request, long cursor, int limit, long startedAt, long deadline) {}
}
