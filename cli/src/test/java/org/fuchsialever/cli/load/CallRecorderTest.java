package org.fuchsialever.cli.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against answers that are timed or counted better than they were. */
class CallRecorderTest {
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final LoadResult mResult = new LoadResult();

    @Test
    void aCallThatWasSentLateCountsFromItsScheduledTime() {
        mTime.advance(Duration.ofSeconds(5));
        CallRecorder recorder = new CallRecorder(CallKind.STREAMED, 0, mTime, mResult);
        recorder.onStatus(200);
        mTime.advance(Duration.ofSeconds(1));
        recorder.onContent(bytes("data: {}\n\n"));
        mTime.advance(Duration.ofSeconds(1));
        recorder.onContent(bytes("data: [DO"));
        recorder.onContent(bytes("NE]\n\n"));
        recorder.onEnd();

        assertThat(mResult.firstByteMillis(100), is(closeTo(6_000, 10)));
        assertThat(mResult.totalMillis(100), is(closeTo(7_000, 10)));
    }

    @Test
    void aStreamWithoutItsEndIsIncomplete() {
        answer(CallKind.STREAMED, 200, "data: {}\n\n");
        assertThat(answers().path("200 incomplete").asInt(), is(1));
        assertThat(mResult.completed(), is(0L));
    }

    @Test
    void aRefusalCountsByStatusAndCode() {
        answer(CallKind.PLAIN, 503, "{\"error\":{\"code\":\"queue-full\"}}");
        answer(CallKind.PLAIN, 502, "");
        assertThat(answers().path("503 queue-full").asInt(), is(1));
        assertThat(answers().path("502").asInt(), is(1));
    }

    private void answer(CallKind kind, int status, String body) {
        CallRecorder recorder = new CallRecorder(kind, 0, mTime, mResult);
        recorder.onStatus(status);
        recorder.onContent(bytes(body));
        recorder.onEnd();
    }

    private ObjectNode answers() {
        ObjectNode body = new ObjectMapper().createObjectNode();
        mResult.toJson(body);
        return (ObjectNode) body.path("answers");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
