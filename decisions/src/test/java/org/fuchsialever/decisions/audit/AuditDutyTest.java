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

/** Guards against gaps and changes of the audit record that nobody notices. */
class AuditDutyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long MIDNIGHT = 20_000 * DAY_MILLIS;
    private static final String START = "node-1/s1";
    private static final int MAX_WAITING = 3;

    private final ManualTimeSource clock = new ManualTimeSource(MIDNIGHT - 7_200_000);
    private final DutyStepper stepper = new DutyStepper(clock);
    private final Map<String, SortedMap<Long, byte[]>> objects = new TreeMap<>();
    private final Map<String, AuditCheckpoint> index = new TreeMap<>();
    private final List<AuditAction> others = new ArrayList<>();
    private final ActionSink<AuditEvent> duty;
    private final String day = AuditDuty.day(MIDNIGHT - 1);
    private final String nextDay = AuditDuty.day(MIDNIGHT);
    private boolean down;
    private boolean losesAnswers;
    private long revision;

    AuditDutyTest() {
        ActionSink<AuditEvent>[] self = sinks();
        self[0] =
                stepper.add(
                        new AuditDuty(
                                START, (wall, rec) -> wall + " " + rec, MAX_WAITING, 0, SECOND),
                        action -> carryOut(action, self[0]));
        duty = self[0];
    }

    @SuppressWarnings("unchecked")
    private static ActionSink<AuditEvent>[] sinks() {
        return new ActionSink[1];
    }

    @Test
    void storesABatchAfterTwoSeconds() {
        record(1);
        stepper.advance(2 * SECOND - 1);
        assertThat(objects.isEmpty(), is(true));
        stepper.advance(1);
        assertThat(batches(day).keySet(), contains(1L));
    }

    @Test
    void storesABatchOfAThousandRecordsAtOnce() {
        record(AuditDuty.MAX_BATCH_RECORDS);
        assertThat(batches(day).keySet(), contains(1L));
    }

    @Test
    void aDayWithAnOrderlyStopIsComplete() {
        recordBatches(5);
        stop();
        assertThat(others, contains(new AuditAction.Stopped()));
        assertThat(verify(), empty());
    }

    @Test
    void aStartThatSpansMidnightIsCompleteOnBothDays() {
        recordBatches(2);
        stepper.advance(7_200 * SECOND);
        recordBatches(2);
        stop();
        assertThat(batches(nextDay).firstKey(), equalTo(3L));
        assertThat(verify(), empty());
        assertThat(
                AuditVerifier.verify(indexOf(nextDay), Map.of(), Map.of(START, batches(nextDay))),
                empty());
    }

    @Test
    void namesARemovedBatch() {
        recordBatches(5);
        stop();
        batches(day).remove(3L);
        assertThat(verify(), contains(problem(2, Kind.NOT_PROVEN), problem(3, Kind.MISSING)));
    }

    @Test
    void namesARemovedLastBatch() {
        recordBatches(3);
        stop();
        batches(day).remove(batches(day).lastKey());
        assertThat(verify(), hasItem(problem(4, Kind.MISSING)));
    }

    @Test
    void namesAChangedBatch() {
        recordBatches(5);
        stop();
        String text = new String(batches(day).get(3L), StandardCharsets.UTF_8);
        String other = text.replace("version=", "version=1");
        batches(day).put(3L, other.getBytes(StandardCharsets.UTF_8));
        assertThat(verify(), contains(problem(2, Kind.NOT_PROVEN), problem(3, Kind.CHANGED)));
    }

    @Test
    void namesAChangedLastBatch() {
        recordBatches(2);
        stop();
        String text = new String(batches(day).get(3L), StandardCharsets.UTF_8);
        batches(day).put(3L, (text + " ").getBytes(StandardCharsets.UTF_8));
        assertThat(verify(), hasItem(problem(3, Kind.CHANGED)));
    }

    @Test
    void showsThatALostInstanceHasNoEndMarker() {
        recordBatches(2);
        stepper.advance(20 * SECOND);
        assertThat(verify(), contains(problem(2, Kind.NO_END_MARKER)));
    }

    @Test
    void showsAStartWhoseIndexRowIsGone() {
        recordBatches(2);
        stop();
        index.clear();
        assertThat(verify(), contains(problem(1, Kind.NOT_INDEXED)));
    }

    @Test
    void aLostAnswerNeitherDoublesNorSkipsABatch() {
        losesAnswers = true;
        recordBatches(1);
        losesAnswers = false;
        stepper.advance(60 * SECOND);
        recordBatches(1);
        stop();
        assertThat(verify(), empty());
    }

    @Test
    void staysBoundedInAnOutageOfAnHourAndRecordsHowMuchWasLost() {
        down = true;
        for (int second = 0; second < 3_600; second++) {
            record(2);
            stepper.advance(SECOND);
        }
        down = false;
        stepper.advance(60 * SECOND);
        record(1);
        stop();
        long lost = others.stream().filter(AuditAction.RecordsLost.class::isInstance).count();
        long kept =
                batches(day).values().stream()
                        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                        .flatMap(String::lines)
                        .filter(line -> line.contains("ConfigurationChanged"))
                        .count();
        assertThat(lost, greaterThan(0L));
        assertThat(kept + lost, equalTo(7_201L));
        assertThat(batches(day).size(), lessThanOrEqualTo(MAX_WAITING + 3));
        boolean noted =
                batches(day).values().stream()
                        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                        .anyMatch(text -> text.contains("RecordsLost[count=" + lost + "]"));
        assertThat(noted, is(true));
        assertThat(verify(), empty());
    }

    private void recordBatches(int count) {
        for (int i = 0; i < count; i++) {
            record(1);
            stepper.advance(3 * SECOND);
        }
    }

    private void record(int count) {
        for (int i = 0; i < count; i++) {
            AuditRecord change = new AuditRecord.ConfigurationChanged(i);
            duty.emit(new AuditEvent.Recorded(clock.wallMillis(), change));
        }
        stepper.runPending();
    }

    private void stop() {
        duty.emit(new AuditEvent.Stop(clock.wallMillis()));
        stepper.runPending();
    }

    private List<AuditProblem> verify() {
        return AuditVerifier.verify(indexOf(day), indexOf(nextDay), Map.of(START, batches(day)));
    }

    private Map<String, AuditCheckpoint> indexOf(String name) {
        AuditCheckpoint checkpoint = index.get(name);
        return checkpoint == null
                ? Map.of()
                : Map.of(START, AuditCheckpoint.parse(checkpoint.text()).get());
    }

    private SortedMap<Long, byte[]> batches(String name) {
        return objects.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private static AuditProblem problem(long sequence, Kind kind) {
        return new AuditProblem(START, sequence, kind);
    }

    private void carryOut(AuditAction action, ActionSink<AuditEvent> events) {
        if (action instanceof AuditAction.StoreBatch store) {
            long number = store.batch().sequence();
            if (!down) {
                batches(store.objectName().split("/")[1])
                        .putIfAbsent(number, store.batch().bytes());
            }
            events.emit(
                    down || losesAnswers
                            ? new AuditEvent.BatchFailed(number)
                            : new AuditEvent.BatchStored(number));
        } else if (action instanceof AuditAction.WriteIndex write) {
            if (write.version() == 0 && index.containsKey(write.day())) {
                events.emit(new AuditEvent.IndexConflicted(write.day(), revision));
                return;
            }
            if (!down) {
                index.put(write.day(), write.checkpoint());
            }
            events.emit(
                    down || losesAnswers
                            ? new AuditEvent.IndexFailed(write.day())
                            : new AuditEvent.IndexWritten(write.day(), ++revision));
        } else {
            others.add(action);
        }
    }
}
