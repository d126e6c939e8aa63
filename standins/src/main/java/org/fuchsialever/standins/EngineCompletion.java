package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The text that answers one request, and its timing. */
final class EngineCompletion {
    private final EngineOptions options;
    private final boolean chat;
    private final String prompt;
    private final int first;
    private final int end;

    private EngineCompletion(
            EngineOptions options, boolean chat, String prompt, int first, int end) {
        this.options = options;
        this.chat = chat;
        this.prompt = prompt;
        this.first = first;
        this.end = end;
    }

    static EngineCompletion of(
            JsonNode call, boolean chat, EngineOptions options, int defaultTokens) {
        String prompt = chat ? conversation(call) : call.path("prompt").asText();
        int limit = call.path("max_tokens").asInt(defaultTokens);
        int end = Math.min(limit, options.responseLength.applyAsInt(prompt));
        int first = Math.min(end, call.path("resume_from").asInt());
        return new EngineCompletion(options, chat, prompt, first, end);
    }

    String prompt() {
        return prompt;
    }

    int first() {
        return first;
    }

    int count() {
        return end - first;
    }

    /** Emits the index of each token when it is generated. */
    Flux<Integer> ticks(boolean cached) {
        Duration delay = firstToken(cached);
        if (options.tokenInterval.isZero()) {
            Flux<Integer> tokens = Flux.range(first, count());
            return delay.isZero() ? tokens : Mono.delay(delay).thenMany(tokens);
        }
        return Flux.interval(delay.plus(options.tokenInterval), options.tokenInterval)
                .onBackpressureBuffer()
                .take(count())
                .map(tick -> first + tick.intValue());
    }

    Duration wholeTime(boolean cached) {
        return firstToken(cached).plus(options.tokenInterval.multipliedBy(count()));
    }

    ObjectNode chunk(int index) {
        ObjectNode chunk = Json.object();
        boolean last = index == end - 1;
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        String text = EngineStandIn.tokenText(prompt, index);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", last ? "length" : null);
        if (last) {
            addUsage(chunk);
        }
        return chunk;
    }

    ObjectNode whole() {
        StringBuilder text = new StringBuilder();
        for (int index = first; index < end; index++) {
            text.append(EngineStandIn.tokenText(prompt, index));
        }
        ObjectNode answer = Json.object();
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", "length");
        addUsage(answer);
        return answer;
    }

    private Duration firstToken(boolean cached) {
        return cached ? options.cachedTimeToFirstToken : options.timeToFirstToken;
    }

    private void addUsage(ObjectNode answer) {
        int promptTokens = Math.max(1, prompt.split("\\s+").length);
        answer.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", count());
    }

    private static String conversation(JsonNode call) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : call.path("messages")) {
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }
}
