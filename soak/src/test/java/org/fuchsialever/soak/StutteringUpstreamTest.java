package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Callable;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.Stutter;
import org.fuchsialever.platform.SubmissionText;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A copy of a response that arrives where the next run of the same item expects its own. */
class StutteringUpstreamTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final String ITEM = "x";
    private static final Map<String, String> BODIES = Map.of(ITEM, "body");

    @TempDir Path mDirectory;

    private SoakWorld mWorld;
    private Caller mCaller;
    private UpstreamStandIn mEngine;
    private UpstreamStandIn mScorer;

    @BeforeEach
    void start() throws IOException {
        mWorld = new SoakWorld(mDirectory, 1, Map.of("e1", "engines", "p1", "plain"));
        mCaller = new Caller();
        mEngine = mWorld.upstream("e1");
        mScorer = mWorld.upstream("p1");
        eventually(() -> call("GET", "/safe/x", SoakRun.PROBE, "").status() == 200);
    }

    @AfterEach
    void stop() {
        mCaller.close();
        mWorld.close();
    }

    /** Guards against a text that begins with the event at which an earlier run went on. */
    @Test
    void listsWholeTextsWhenAResumedStreamIsSentAgainInPlaceOfTheNext() {
        mEngine.setBehaviour(Behaviour.INTERRUPTS_STREAMS);
        submit("first");
        eventually(() -> mEngine.executionCount(ITEM) > 0);
        mEngine.setBehaviour(Behaviour.HEALTHY);
        mEngine.repeatResponses(Stutter.BEFORE_NEXT);
        eventually(() -> isListed("first"));
        submitAgain();
        assertThat(Promise.checkAll(Evidence.of(mWorld)), is(empty()));
    }

    /** Guards against a result that was scored before its text was made. */
    @Test
    void takesNoScoreOfAnEarlierTextThatIsSentAgainInPlaceOfTheNext() {
        mScorer.repeatResponses(Stutter.BEFORE_NEXT);
        submit("first");
        eventually(() -> isListed("first"));
        submitAgain();
        assertThat(Promise.checkAll(Evidence.of(mWorld)), is(empty()));
    }

    private void submitAgain() {
        mWorld.record().ended("first");
        assertThat(call("DELETE", "/api/lots/first", "end", "").status(), is(200));
        submit("second");
        eventually(() -> isListed("second"));
    }

    private void submit(String id) {
        long now = System.nanoTime();
        String text = SubmissionText.of(BODIES, 1);
        assertThat(call("POST", "/rollout/" + id, id, text).status(), is(202));
        mWorld.record().submission(new SoakRecord.Submission(id, BODIES, 1, now, true, false));
    }

    private boolean isListed(String id) {
        CallerStandIn.Response read = call("GET", "/api/lots/" + id + "?after=0", "read", "");
        if (read.status() == 200) {
            mWorld.record().results("n1", id, 0, Trainer.json(read.body()));
        }
        return mWorld.record().listedCount(id) == 1;
    }

    private CallerStandIn.Response call(String method, String path, String id, String body) {
        return mCaller.call(mWorld.instances().get(0), method, path, id, body)
                .blockOptional()
                .orElseThrow();
    }

    private static void eventually(Callable<Boolean> condition) {
        await().atMost(PATIENCE).pollInterval(Duration.ofMillis(20)).until(condition);
    }
}
