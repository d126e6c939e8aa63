package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The completion generated for one request: its tokens and their timing. */
final class EngineCompletion {
    private final EngineOptions mOptions;
    private final boolean mChat;
    private final String mPrompt;
    private final int mFirstIndex;
    private final int mEndIndex;

    private EngineCompletion(
            EngineOptions options, boolean chat, String prompt, int first, int end) {
        mOptions = options;
        mChat = chat;
        mPrompt = prompt;
        mFirstIndex = first;
        mEndIndex = end;
    }

    static EngineCompletion of(
            JsonNode call, boolean chat, EngineOptions options, int defaultTokens) {
        String prompt = chat ? joinMessages(call) : call.path("prompt").asText();
        int limit = call.path("max_tokens").asInt(defaultTokens);
        int end = Math.min(limit, options.mResponseLength.applyAsInt(prompt));
        int first = Math.min(end, call.path("resume_from").asInt());
        return new EngineCompletion(options, chat, prompt, first, end);
    }

    String prompt() {
        return mPrompt;
    }

    int firstIndex() {
        return mFirstIndex;
    }

    int tokenCount() {
        return mEndIndex - mFirstIndex;
    }

    /** Emits the index of each token at the time at which it is generated. */
    Flux<Integer> tokenIndexes(boolean cached) {
        Duration delay = timeToFirstToken(cached);
        if (mOptions.mTokenInterval.isZero()) {
            Flux<Integer> tokens = Flux.range(mFirstIndex, tokenCount());
            return delay.isZero() ? tokens : Mono.delay(delay).thenMany(tokens);
        }
        return Flux.interval(delay.plus(mOptions.mTokenInterval), mOptions.mTokenInterval)
                .onBackpressureBuffer()
                .take(tokenCount())
                .map(tick -> mFirstIndex + tick.intValue());
    }

    Duration totalTime(boolean cached) {
        return timeToFirstToken(cached).plus(mOptions.mTokenInterval.multipliedBy(tokenCount()));
    }

    ObjectNode chunk(int index) {
        ObjectNode chunk = Json.object();
        boolean last = index == mEndIndex - 1;
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        String text = EngineStandIn.tokenText(mPrompt, index);
        if (mChat) {
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

    ObjectNode toDocument() {
        StringBuilder text = new StringBuilder();
        for (int index = mFirstIndex; index < mEndIndex; index++) {
            text.append(EngineStandIn.tokenText(mPrompt, index));
        }
        ObjectNode body = Json.object();
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (mChat) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", "length");
        addUsage(body);
        return body;
    }

    private Duration timeToFirstToken(boolean cached) {
        return cached ? mOptions.mCachedTimeToFirstToken : mOptions.mTimeToFirstToken;
    }

    private void addUsage(ObjectNode body) {
        int promptTokens = Math.max(1, mPrompt.split("\\s+").length);
        body.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", tokenCount());
    }

    private static String joinMessages(JsonNode call) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : call.path("messages")) {
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }
}
