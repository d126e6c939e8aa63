package org.fuchsialever.kernel.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** A process whose duty fails. */
class LostDutyTest {

    /** Guards against a process that lives on without one of its duties. */
    @Test
    void endsWithAStatusOfItsOwnWhenAnErrorEndsADuty() throws Exception {
        Ended ended = run("error");
        assertThat(ended.status, is(3));
        assertThat(ended.output, containsString("Thread of a duty has ended"));
        assertThat(ended.output, containsString("duty-failing"));
    }

    /** Guards against an exit for a single event that a duty cannot handle. */
    @Test
    void servesOnAfterAnExceptionInOneEvent() throws Exception {
        assertThat(run("exception").status, is(LostDutyProgram.EXIT_SERVED_ON));
    }

    private static Ended run(String failure) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx32m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                LostDutyProgram.class.getName(),
                                failure)
                        .redirectErrorStream(true)
                        .start();
        byte[] output = process.getInputStream().readAllBytes();
        return new Ended(process.waitFor(), new String(output, StandardCharsets.UTF_8));
    }

    private record Ended(int status, String output) {}
}
