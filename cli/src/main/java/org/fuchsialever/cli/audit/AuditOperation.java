package org.fuchsialever.cli.audit;

import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.decisions.audit.AuditBatch;
import org.fuchsialever.decisions.audit.AuditProblem;
import org.fuchsialever.decisions.audit.AuditVerifier;

/** The operations of the command {@code audit}. */
enum AuditOperation {
    /** Prints the records without verifying that they are complete. */
    SHOW {
        @Override
        ExitCode run(AuditDay day, String team, boolean json, CommandContext context)
                throws IOException {
            ArrayNode records = MAPPER.createArrayNode();
            boolean damaged = false;
            for (SortedMap<Long, byte[]> batches : day.batches().values()) {
                for (byte[] content : batches.values()) {
                    String text = new String(content, StandardCharsets.UTF_8);
                    for (AuditBatch batch : AuditBatch.parse(text)) {
                        addRecords(batch, team, records);
                    }
                    damaged |= AuditBatch.parse(text).isFailure();
                }
            }
            if (json) {
                context.out().println(MAPPER.createObjectNode().set("records", records));
            } else {
                records.forEach(context.out()::println);
            }
            if (damaged) {
                context.err().println("Some batches cannot be read; use audit verify.");
                return ExitCode.DIFFERENT;
            }
            return ExitCode.OK;
        }
    },
    /** Verifies the day and lists the batches that are missing or differ from what was written. */
    VERIFY {
        @Override
        ExitCode run(AuditDay day, String team, boolean json, CommandContext context) {
            List<AuditProblem> problems =
                    AuditVerifier.verify(
                            day.checkpoints(), day.checkpointsOfNextDay(), day.batches());
            if (json) {
                ObjectNode body = MAPPER.createObjectNode();
                body.put("complete", problems.isEmpty());
                ArrayNode list = body.putArray("problems");
                for (AuditProblem problem : problems) {
                    list.addObject()
                            .put("start", problem.start())
                            .put("batch", problem.sequence())
                            .put("problem", problem.kind().label());
                }
                context.out().println(body);
            } else {
                for (AuditProblem problem : problems) {
                    context.out()
                            .printf(
                                    "%s  batch %d  %s%n",
                                    problem.start(), problem.sequence(), problem.kind().label());
                }
                context.out().println(problems.isEmpty() ? "complete" : "not complete");
            }
            return problems.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
        }
    };

    private static final ObjectMapper MAPPER = new ObjectMapper();

    abstract ExitCode run(AuditDay day, String team, boolean json, CommandContext context)
            throws IOException;

    static AuditOperation of(String word) {
        try {
            return valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new ParameterException("\"" + word + "\" is not show or verify");
        }
    }

    private static void addRecords(AuditBatch batch, String team, ArrayNode records)
            throws IOException {
        for (String line : batch.lines()) {
            JsonNode record = MAPPER.readTree(line);
            if (team.isEmpty() || record.path("team").asText().equals(team)) {
                records.add(record);
            }
        }
    }
}
