package org.fuchsialever.decisions.audit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fuchsialever.decisions.audit.AuditProblem.Kind;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against undetected gaps and changes in the audit record. */
class AuditDutyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long MIDNIGHT = 20_000 * DAY_MILLIS;
    private static final String START = "node-1/s1";
    private static final int MAX_WAITING = 3;

    private final ManualTimeSource mClock = new ManualTimeSource(MIDNIGHT - 7_200_000);
    private final DutyStepper mStepper = new DutyStepper(mClock);
    private final Map<String, SortedMap<Long, byte[]>> mObjects = new TreeMap<>();
    private final Map<String, AuditCheckpoint> mIndex = new TreeMap<>();
    private final List<AuditAction> mOthers = new ArrayList<>();
    private final ActionSink<AuditEvent> mDuty;
    private final String mDay = AuditDuty.day(MIDNIGHT - 1);
    private final String mNextDay = AuditDuty.day(MIDNIGHT);
    private boolean mDown;
    private boolean mLosesAnswers;
    private long mRevision;

    AuditDutyTest() {
        ActionSink<AuditEvent>[] self = sinks();
        self[0] =
                mStepper.add(
                        new AuditDuty(
                                START, (wall, rec) -> wall + " " + rec, MAX_WAITING, 0, SECOND),
                        action -> perform(action, self[0]));
        mDuty = self[0];
    }

    @SuppressWarnings("unchecked")
    private static ActionSink<AuditEvent>[] sinks() {
        return new ActionSink[1];
    }

    @Test
    void storesABatchAfterTwoSeconds() {
        record(1);
        mStepper.advance(2 * SECOND - 1);
        assertThat(mObjects.isEmpty(), is(true));
        mStepper.advance(1);
        assertThat(batches(mDay).keySet(), contains(1L));
    }

    @Test
    void storesABatchOfAThousandRecordsAtOnce() {
        record(AuditDuty.MAX_BATCH_RECORDS);
        assertThat(batches(mDay).keySet(), contains(1L));
    }

    @Test
    void aDayWithAnOrderlyStopIsComplete() {
        recordBatches(5);
        stop();
        assertThat(mOthers, contains(new AuditAction.Stopped()));
        assertThat(verify(), empty());
    }

    @Test
    void aStartThatSpansMidnightIsCompleteOnBothDays() {
        recordBatches(2);
        mStepper.advance(7_200 * SECOND);
        recordBatches(2);
        stop();
        assertThat(batches(mNextDay).firstKey(), equalTo(3L));
        assertThat(verify(), empty());
        assertThat(
                AuditVerifier.verify(indexOf(mNextDay), Map.of(), Map.of(START, batches(mNextDay))),
                empty());
    }

    @Test
    void namesARemovedBatch() {
        recordBatches(5);
        stop();
        batches(mDay).remove(3L);
        assertThat(verify(), contains(problem(2, Kind.NOT_PROVEN), problem(3, Kind.MISSING)));
    }

    @Test
    void namesARemovedLastBatch() {
        recordBatches(3);
        stop();
        batches(mDay).remove(batches(mDay).lastKey());
        assertThat(verify(), hasItem(problem(4, Kind.MISSING)));
    }

    @Test
    void namesAChangedBatch() {
        recordBatches(5);
        stop();
        String text = new String(batches(mDay).get(3L), StandardCharsets.UTF_8);
        String other = text.replace("version=", "version=1");
        batches(mDay).put(3L, other.getBytes(StandardCharsets.UTF_8));
        assertThat(verify(), contains(problem(2, Kind.NOT_PROVEN), problem(3, Kind.CHANGED)));
    }

    @Test
    void namesAChangedLastBatch() {
        recordBatches(2);
        stop();
        String text = new String(batches(mDay).get(3L), StandardCharsets.UTF_8);
        batches(mDay).put(3L, (text + " ").getBytes(StandardCharsets.UTF_8));
        assertThat(verify(), hasItem(problem(3, Kind.CHANGED)));
    }

    @Test
    void showsThatALostInstanceHasNoEndMarker() {
        recordBatches(2);
        mStepper.advance(20 * SECOND);
        assertThat(verify(), contains(problem(2, Kind.NO_END_MARKER)));
    }

    @Test
    void showsAStartWhoseIndexRowIsGone() {
        recordBatches(2);
        stop();
        mIndex.clear();
        assertThat(verify(), contains(problem(1, Kind.NOT_INDEXED)));
    }

    @Test
    void aLostAnswerNeitherDoublesNorSkipsABatch() {
        mLosesAnswers = true;
        recordBatches(1);
        mLosesAnswers = false;
        mStepper.advance(60 * SECOND);
        recordBatches(1);
        stop();
        assertThat(verify(), empty());
    }

    @Test
    void staysBoundedInAnOutageOfAnHourAndRecordsHowMuchWasLost() {
        mDown = true;
        for (int second = 0; second < 3_600; second++) {
            record(2);
            mStepper.advance(SECOND);
        }
        mDown = false;
        mStepper.advance(60 * SECOND);
        record(1);
        stop();
        long lost = mOthers.stream().filter(AuditAction.RecordsLost.class::isInstance).count();
        long kept =
                batches(mDay).values().stream()
                        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                        .flatMap(String::lines)
                        .filter(line -> line.contains("ConfigurationChanged"))
                        .count();
        assertThat(lost, greaterThan(0L));
        assertThat(kept + lost, equalTo(7_201L));
        assertThat(batches(mDay).size(), lessThanOrEqualTo(MAX_WAITING + 3));
        boolean noted =
                batches(mDay).values().stream()
                        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                        .anyMatch(text -> text.contains("RecordsLost[count=" + lost + "]"));
        assertThat(noted, is(true));
        assertThat(verify(), empty());
    }

    private void recordBatches(int count) {
        for (int i = 0; i < count; i++) {
            record(1);
            mStepper.advance(3 * SECOND);
        }
    }

    private void record(int count) {
        for (int i = 0; i < count; i++) {
            AuditRecord change = new AuditRecord.ConfigurationChanged(i);
            mDuty.emit(new AuditEvent.Recorded(mClock.wallMillis(), change));
        }
        mStepper.runPending();
    }

    private void stop() {
        mDuty.emit(new AuditEvent.Stop(mClock.wallMillis()));
        mStepper.runPending();
    }

    private List<AuditProblem> verify() {
        return AuditVerifier.verify(indexOf(mDay), indexOf(mNextDay), Map.of(START, batches(mDay)));
    }

    private Map<String, AuditCheckpoint> indexOf(String name) {
        AuditCheckpoint checkpoint = mIndex.get(name);
        return checkpoint == null
                ? Map.of()
                : Map.of(START, AuditCheckpoint.parse(checkpoint.text()).get());
    }

    private SortedMap<Long, byte[]> batches(String name) {
        return mObjects.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private static AuditProblem problem(long sequence, Kind kind) {
        return new AuditProblem(START, sequence, kind);
    }

    private void perform(AuditAction action, ActionSink<AuditEvent> events) {
        if (action instanceof AuditAction.StoreBatch store) {
            long number = store.batch().sequence();
            if (!mDown) {
                batches(store.objectName().split("/")[1])
                        .putIfAbsent(number, store.batch().bytes());
            }
            events.emit(
                    mDown || mLosesAnswers
                            ? new AuditEvent.BatchFailed(number)
                            : new AuditEvent.BatchStored(number));
        } else if (action instanceof AuditAction.WriteIndex write) {
            if (write.version() == 0 && mIndex.containsKey(write.day())) {
                events.emit(new AuditEvent.IndexConflicted(write.day(), mRevision));
                return;
            }
            if (!mDown) {
                mIndex.put(write.day(), write.checkpoint());
            }
            events.emit(
                    mDown || mLosesAnswers
                            ? new AuditEvent.IndexFailed(write.day())
                            : new AuditEvent.IndexWritten(write.day(), ++mRevision));
        } else {
            mOthers.add(action);
        }
    }
}
