package org.fuchsialever.decisions.audit;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Checks the audit record of one day. A batch that was removed or changed is found as long as the
 * index row of its start is intact, or as long as a later batch of that start is.
 */
public final class AuditVerifier {

    private AuditVerifier() {}

    /**
     * Checks a day.
     *
     * @param index checkpoints of the day by start
     * @param nextDay checkpoints of the following day by start
     * @param batches content of all batches of the day by start and number
     * @return all problems in order of start and number; empty if the day is complete
     */
    public static List<AuditProblem> verify(
            Map<String, AuditCheckpoint> index,
            Map<String, AuditCheckpoint> nextDay,
            Map<String, SortedMap<Long, byte[]>> batches) {
        TreeSet<String> starts = new TreeSet<>(index.keySet());
        starts.addAll(batches.keySet());
        List<AuditProblem> problems = new ArrayList<>();
        for (String start : starts) {
            new StartCheck(
                            start,
                            Option.of(index.get(start)),
                            Option.of(nextDay.get(start)),
                            batches.getOrDefault(start, new TreeMap<>()))
                    .run(problems);
        }
        return problems;
    }

    private record StartCheck(
            String start,
            Option<AuditCheckpoint> checkpoint,
            Option<AuditCheckpoint> next,
            SortedMap<Long, byte[]> contents) {

        /** Goes from the newest batch back, because each batch proves the one before it. */
        void run(List<AuditProblem> problems) {
            List<AuditProblem> found = new ArrayList<>();
            if (checkpoint.isEmpty()) {
                add(found, AuditProblem.Kind.NOT_INDEXED, contents.firstKey());
            }
            long last = last();
            Option<String> expected =
                    next.filter(row -> row.firstSequence() == last + 1)
                            .map(AuditCheckpoint::previousHash);
            boolean proven = true;
            for (long position = last; position >= first(); position--) {
                long number = position;
                Option<byte[]> content = Option.of(contents.get(number));
                Option<AuditBatch> batch = content.flatMap(bytes -> parse(bytes, number));
                boolean hasAnchor = anchor(number).isDefined();
                if (content.isEmpty()) {
                    add(found, AuditProblem.Kind.MISSING, number);
                } else if (batch.isEmpty()
                        || !fits(expected, content.get())
                        || !fits(anchor(number), content.get())) {
                    add(found, AuditProblem.Kind.CHANGED, number);
                } else if (!proven && !hasAnchor) {
                    add(found, AuditProblem.Kind.NOT_PROVEN, number);
                }
                proven = found.stream().noneMatch(problem -> problem.isLossOf(number));
                expected = proven ? batch.map(AuditBatch::previousHash) : Option.none();
                if (number == last && next.isEmpty() && !isEnd(batch)) {
                    add(found, AuditProblem.Kind.NO_END_MARKER, number);
                }
            }
            found.sort(Comparator.comparingLong(AuditProblem::sequence));
            problems.addAll(found);
        }

        private long first() {
            return checkpoint
                    .map(AuditCheckpoint::firstSequence)
                    .getOrElse(() -> contents.firstKey());
        }

        private long last() {
            long indexed = checkpoint.map(AuditCheckpoint::lastSequence).getOrElse(0L);
            long stored = contents.isEmpty() ? 0 : contents.lastKey();
            long known = next.map(row -> row.firstSequence() - 1).getOrElse(0L);
            return Math.max(known, Math.max(indexed, stored));
        }

        /** Returns the hash that the index row names for a batch. */
        private Option<String> anchor(long number) {
            return checkpoint
                    .filter(row -> row.lastSequence() == number)
                    .map(AuditCheckpoint::lastHash);
        }

        private static boolean fits(Option<String> hash, byte[] content) {
            return hash.forAll(AuditChain.hash(content)::equals);
        }

        private static boolean isEnd(Option<AuditBatch> batch) {
            return batch.exists(b -> b.marker() == BatchMarker.END);
        }

        private Option<AuditBatch> parse(byte[] content, long number) {
            String text = new String(content, StandardCharsets.UTF_8);
            return AuditBatch.parse(text)
                    .toOption()
                    .filter(batch -> batch.sequence() == number && batch.start().equals(start));
        }

        private void add(List<AuditProblem> problems, AuditProblem.Kind kind, long number) {
            problems.add(new AuditProblem(start, number, kind));
        }
    }
}
