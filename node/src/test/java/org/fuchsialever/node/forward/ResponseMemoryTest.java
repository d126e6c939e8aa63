package org.fuchsialever.node.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseMemoryTest {
    private static final long MAX_BYTES = 100;

    private final List<String> mGivenUp = new ArrayList<>();
    private final ResponseMemory mMemory = new ResponseMemory(MAX_BYTES);

    /** Guards against one upstream that takes the memory of the responses of all others. */
    @Test
    void givesUpTheLargestResponseAndKeepsTheOthers() {
        ResponseMemory.Account small = open("small");
        ResponseMemory.Account large = open("large");
        ResponseMemory.Account medium = open("medium");
        small.hold(10);
        large.hold(60);
        medium.hold(30);
        assertThat(mGivenUp, is(List.of()));
        small.hold(11);
        assertThat(mGivenUp, is(List.of("large")));
        small.hold(70);
        assertThat(mGivenUp, is(List.of("large")));
    }

    @Test
    void givesUpTheResponseThatGrowsIfItIsTheLargest() {
        open("other").hold(40);
        open("growing").hold(61);
        assertThat(mGivenUp, is(List.of("growing")));
    }

    @Test
    void countsNoResponseThatHasEnded() {
        ResponseMemory.Account ended = open("ended");
        ended.hold(100);
        ended.close();
        open("next").hold(100);
        assertThat(mGivenUp, is(List.of()));
    }

    @Test
    void givesUpNoMoreResponsesThanNeeded() {
        for (int n = 0; n < 10; n++) {
            open("r" + n).hold(10);
        }
        open("last").hold(9);
        assertThat(mGivenUp.size(), is(1));
        open("whole").hold(100);
        assertThat(mGivenUp.get(1), is("whole"));
    }

    private ResponseMemory.Account open(String name) {
        return mMemory.open(() -> mGivenUp.add(name));
    }
}
