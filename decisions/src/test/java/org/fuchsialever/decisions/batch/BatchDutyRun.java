package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.queue.StepOrder;

/** The batch duty of instance "i1" with a clock that the test advances, and what it has emitted. */
final class BatchDutyRun {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    static final long DUE_MILLIS = 7_500;

    private final BatchDuty mDuty;
    private final List<BatchAction> mActions = new ArrayList<>();
    private long mNow;

    BatchDutyRun() {
        this(Long.MAX_VALUE);
    }

    BatchDutyRun(long maxContentBytes) {
        mDuty = new BatchDuty("i1", "s1", new SplittableRandom(1), maxContentBytes);
    }

    long now() {
        return mNow;
    }

    List<BatchAction> actions() {
        return mActions;
    }

    <T extends BatchAction> List<T> all(Class<T> type) {
        return mActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends BatchAction> T last(Class<T> type) {
        List<T> found = all(type);
        return found.get(found.size() - 1);
    }

    void event(BatchEvent event) {
        mDuty.onEvent(event, mNow, mActions::add);
    }

    void advance(long nanos) {
        long end = mNow + nanos;
        while (mDuty.nextTimerNanos() <= end) {
            mNow = Math.max(mNow, mDuty.nextTimerNanos());
            mDuty.onTimer(mNow, mActions::add);
        }
        mNow = end;
    }

    /** Opens a submission of one item that was accepted just now. */
    void open(BatchState state, long limitNanos) {
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                10,
                                spec(state.id()),
                                Set.of(),
                                state.submittedMillis() + DUE_MILLIS,
                                mNow + limitNanos,
                                false,
                                Map.of(),
                                StepOrder.LONGEST_FIRST,
                                0,
                                mNow + TimeUnit.MILLISECONDS.toNanos(DUE_MILLIS))));
    }

    /** Returns the content of a submission of one item. */
    static BatchSpec spec(String id) {
        BatchItem item =
                new BatchItem("x", "g", "/p/x", Map.of(), new byte[0], 10, 5, Option.none());
        return new BatchSpec(id, "m", 1, 5, 1, List.of(item));
    }

    /** Returns the state of a submission of one item. */
    static BatchState state(String id, String owner, long submittedMillis, long bytes) {
        return new BatchState(
                id,
                "team",
                "h",
                "/p/" + id,
                1,
                0,
                submittedMillis,
                owner,
                owner.replace("i", "s"),
                1,
                false,
                new BatchContent("m", 1, 0, 0, bytes));
    }
}
