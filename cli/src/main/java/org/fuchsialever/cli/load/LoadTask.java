package org.fuchsialever.cli.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.command.JsonTask;

/** One run of the command {@code load}. */
@Parameters(
        commandDescription =
                "Send calls with Poisson arrivals and measure the answers from the scheduled times")
final class LoadTask extends JsonTask {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Parameter(names = "--url", description = "Instance, such as http://127.0.0.1:18081")
    private String url = "";

    @Parameter(names = "--direct-url", description = "Engine, for --compare-direct with --url")
    private String directUrl = "";

    @Parameter(
            names = "--direct-plain-url",
            description = "Plain service, for --compare-direct with --url")
    private String directPlainUrl = "";

    @Parameter(names = "--key", description = "Key of the caller; not sent in direct phases")
    private String key = "";

    @Parameter(names = "--live-path", description = "Path of live calls")
    private String livePath = "/v1/completions";

    @Parameter(names = "--plain-path", description = "Path of plain calls")
    private String plainPath = "/desk";

    @Parameter(names = "--rate", description = "Mean number of calls per second")
    private double rate = 100;

    @Parameter(names = "--seconds", description = "Time in which calls are sent (s), per side")
    private int seconds = 10;

    @Parameter(names = "--phase-seconds", description = "Length of a phase (s)")
    private int phaseSeconds = 2;

    @Parameter(names = "--warm-up-seconds", description = "Time before measuring (s), per side")
    private int warmUpSeconds = 2;

    @Parameter(names = "--seed", description = "Seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--mix", description = "Weights of the kinds of calls")
    private String mix = "streamed=70,whole=20,plain=10";

    @Parameter(names = "--max-tokens", description = "Tokens of a live answer")
    private int maxTokens = 16;

    @Parameter(
            names = "--token-millis",
            description = "Token interval of an engine in process (ms)")
    private int tokenMillis;

    @Parameter(names = "--timeout-seconds", description = "Time after which a call failed (s)")
    private int timeoutSeconds = 60;

    @Parameter(
            names = "--compare-direct",
            description =
                    "Alternate short phases through the instance and directly to the upstreams;"
                            + " without --url, instance and upstreams run in this process")
    private boolean compareDirect;

    @Parameter(names = "--percentiles", description = "Print the full distributions, as text")
    private boolean percentiles;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        check();
        CallMix calls = CallMix.parse(mix);
        Duration timeout = Duration.ofSeconds(timeoutSeconds);
        try (LoadRunner runner = new LoadRunner(maxTokens, timeout)) {
            if (compareDirect) {
                return compare(context, runner, calls);
            }
            return measure(context, runner, calls);
        }
    }

    private void check() {
        if (rate <= 0 || seconds <= 0 || phaseSeconds <= 0 || warmUpSeconds < 0) {
            throw new ParameterException("rate and times must be positive");
        }
        if (url.isEmpty() && !compareDirect) {
            throw new ParameterException("--url is needed unless --compare-direct is given");
        }
        if (compareDirect && !url.isEmpty() && directUrl.isEmpty()) {
            throw new ParameterException("--compare-direct with --url needs --direct-url");
        }
    }

    private ExitCode measure(CommandContext context, LoadRunner runner, CallMix calls) {
        LoadTarget target = target("instance", url, url, key);
        runner.run(plan(-1, warmUpSeconds, calls), target, new LoadResult()).block();
        LoadResult result = new LoadResult();
        runner.run(plan(0, seconds, calls), target, result).block();
        ObjectNode body = settings();
        result.toJson(body.putObject(target.name()));
        if (isJsonRequested()) {
            context.out().println(body);
        } else {
            result.print(context.out(), target.name());
            if (percentiles) {
                result.printDistributions(context.out());
            }
        }
        return exitCode(result);
    }

    private ExitCode compare(CommandContext context, LoadRunner runner, CallMix calls)
            throws IOException {
        if (!url.isEmpty()) {
            String plain = directPlainUrl.isEmpty() ? directUrl : directPlainUrl;
            LoadTarget direct = target("direct", directUrl, plain, "");
            return compare(context, runner, calls, target("instance", url, url, key), direct);
        }
        try (InProcessInstance started = new InProcessInstance(Duration.ofMillis(tokenMillis))) {
            return compare(context, runner, calls, started.instance(), started.direct());
        }
    }

    private ExitCode compare(
            CommandContext context,
            LoadRunner runner,
            CallMix calls,
            LoadTarget instance,
            LoadTarget direct) {
        DirectComparison comparison = new DirectComparison(runner, instance, direct);
        comparison.warmUp(plan(-1, warmUpSeconds, calls));
        int pairs = Math.max(1, seconds / phaseSeconds);
        for (int pair = 0; pair < pairs && context.stop().getCount() > 0; pair++) {
            comparison.runPair(pair, plan(pair, Math.min(seconds, phaseSeconds), calls));
        }
        boolean inProcess = url.isEmpty();
        if (isJsonRequested()) {
            ObjectNode body = settings();
            comparison.toJson(body, inProcess);
            context.out().println(body);
        } else {
            comparison.print(context.out(), inProcess);
            if (percentiles) {
                comparison.instanceResult().printDistributions(context.out());
                comparison.directResult().printDistributions(context.out());
            }
        }
        return exitCode(comparison.instanceResult());
    }

    private LoadPlan plan(int phase, int length, CallMix calls) {
        Duration duration = Duration.ofMillis(length * MILLIS_PER_SECOND);
        return LoadPlan.of(seed + phase, rate, duration, calls);
    }

    private LoadTarget target(String name, String live, String plain, String sentKey) {
        return new LoadTarget(name, live + livePath, plain + plainPath, sentKey);
    }

    /** A run in which no call succeeded measured nothing. */
    private static ExitCode exitCode(LoadResult result) {
        return result.completed() > 0 ? ExitCode.OK : ExitCode.FAILURE;
    }

    private ObjectNode settings() {
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.put("seed", seed).put("rate", rate).put("seconds", seconds).put("mix", mix);
        return body.put("max_tokens", maxTokens);
    }
}
