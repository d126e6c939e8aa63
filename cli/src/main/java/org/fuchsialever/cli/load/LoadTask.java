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
    private String mUrl = "";

    @Parameter(names = "--direct-url", description = "Engine, for --compare-direct with --url")
    private String mDirectUrl = "";

    @Parameter(
            names = "--direct-plain-url",
            description = "Plain service, for --compare-direct with --url")
    private String mDirectPlainUrl = "";

    @Parameter(names = "--key", description = "Key of the caller; not sent in direct phases")
    private String mKey = "";

    @Parameter(names = "--live-path", description = "Path of live calls")
    private String mLivePath = "/v1/completions";

    @Parameter(names = "--plain-path", description = "Path of plain calls")
    private String mPlainPath = "/desk";

    @Parameter(names = "--rate", description = "Mean number of calls per second")
    private double mRate = 100;

    @Parameter(names = "--seconds", description = "Time in which calls are sent (s), per side")
    private int mSeconds = 10;

    @Parameter(names = "--phase-seconds", description = "Length of a phase (s)")
    private int mPhaseSeconds = 2;

    @Parameter(names = "--warm-up-seconds", description = "Time before measuring (s), per side")
    private int mWarmUpSeconds = 2;

    @Parameter(names = "--seed", description = "Seed of the arrivals")
    private long mSeed = 1;

    @Parameter(names = "--mix", description = "Weights of the kinds of calls")
    private String mMix = "streamed=70,whole=20,plain=10";

    @Parameter(names = "--max-tokens", description = "Tokens of a live answer")
    private int mMaxTokens = 16;

    @Parameter(
            names = "--token-millis",
            description = "Token interval of an engine in process (ms)")
    private int mTokenMillis;

    @Parameter(names = "--timeout-seconds", description = "Time after which a call failed (s)")
    private int mTimeoutSeconds = 60;

    @Parameter(
            names = "--compare-direct",
            description =
                    "Alternate short phases through the instance and directly to the upstreams;"
                            + " without --url, instance and upstreams run in this process")
    private boolean mCompareDirect;

    @Parameter(names = "--percentiles", description = "Print the full distributions, as text")
    private boolean mPercentiles;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        check();
        CallMix calls = CallMix.parse(mMix);
        Duration timeout = Duration.ofSeconds(mTimeoutSeconds);
        try (LoadRunner runner = new LoadRunner(mMaxTokens, timeout)) {
            if (mCompareDirect) {
                return compare(context, runner, calls);
            }
            return measure(context, runner, calls);
        }
    }

    private void check() {
        if (mRate <= 0 || mSeconds <= 0 || mPhaseSeconds <= 0 || mWarmUpSeconds < 0) {
            throw new ParameterException("rate and times must be positive");
        }
        if (mUrl.isEmpty() && !mCompareDirect) {
            throw new ParameterException("--url is needed unless --compare-direct is given");
        }
        if (mCompareDirect && !mUrl.isEmpty() && mDirectUrl.isEmpty()) {
            throw new ParameterException("--compare-direct with --url needs --direct-url");
        }
    }

    private ExitCode measure(CommandContext context, LoadRunner runner, CallMix calls) {
        LoadTarget target = target("instance", mUrl, mUrl, mKey);
        runner.run(plan(-1, mWarmUpSeconds, calls), target, new LoadResult()).block();
        LoadResult result = new LoadResult();
        runner.run(plan(0, mSeconds, calls), target, result).block();
        ObjectNode body = settings();
        result.toJson(body.putObject(target.name()));
        if (isJsonRequested()) {
            context.out().println(body);
        } else {
            result.print(context.out(), target.name());
            if (mPercentiles) {
                result.printDistributions(context.out());
            }
        }
        return exitCode(result);
    }

    private ExitCode compare(CommandContext context, LoadRunner runner, CallMix calls)
            throws IOException {
        if (!mUrl.isEmpty()) {
            String plain = mDirectPlainUrl.isEmpty() ? mDirectUrl : mDirectPlainUrl;
            LoadTarget direct = target("direct", mDirectUrl, plain, "");
            return compare(context, runner, calls, target("instance", mUrl, mUrl, mKey), direct);
        }
        try (InProcessInstance started = new InProcessInstance(Duration.ofMillis(mTokenMillis))) {
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
        comparison.warmUp(plan(-1, mWarmUpSeconds, calls));
        int pairs = Math.max(1, mSeconds / mPhaseSeconds);
        for (int pair = 0; pair < pairs && context.stop().getCount() > 0; pair++) {
            comparison.runPair(pair, plan(pair, Math.min(mSeconds, mPhaseSeconds), calls));
        }
        boolean inProcess = mUrl.isEmpty();
        if (isJsonRequested()) {
            ObjectNode body = settings();
            comparison.toJson(body, inProcess);
            context.out().println(body);
        } else {
            comparison.print(context.out(), inProcess);
            if (mPercentiles) {
                comparison.instanceResult().printDistributions(context.out());
                comparison.directResult().printDistributions(context.out());
            }
        }
        return exitCode(comparison.instanceResult());
    }

    private LoadPlan plan(int phase, int length, CallMix calls) {
        Duration duration = Duration.ofMillis(length * MILLIS_PER_SECOND);
        return LoadPlan.of(mSeed + phase, mRate, duration, calls);
    }

    private LoadTarget target(String name, String live, String plain, String sentKey) {
        return new LoadTarget(name, live + mLivePath, plain + mPlainPath, sentKey);
    }

    /** A run in which no call succeeded measured nothing. */
    private static ExitCode exitCode(LoadResult result) {
        return result.completed() > 0 ? ExitCode.OK : ExitCode.FAILURE;
    }

    private ObjectNode settings() {
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.put("seed", mSeed).put("rate", mRate).put("seconds", mSeconds).put("mix", mMix);
        return body.put("max_tokens", mMaxTokens);
    }
}
