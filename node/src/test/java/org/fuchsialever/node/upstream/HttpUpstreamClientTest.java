package org.fuchsialever.node.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.frontend.PresentedSecret;
import org.fuchsialever.kernel.invariant.Invariant;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/** Guards against requests that carry a caller's key to an upstream. */
class HttpUpstreamClientTest {
    private static final String SECRET = "0123456789abcdef0123456789abcdef";
    private static final String KEY = "fl_k1_" + SECRET;

    private final List<Invariant> mViolated = new ArrayList<>();
    private final HttpUpstreamClient mClient =
            new HttpUpstreamClient(
                    (invariant, detail) -> mViolated.add(invariant),
                    Duration.ofSeconds(1),
                    Schedulers.immediate());

    @Test
    void sendsNothingThatShowsTheKeyInPathHeaderOrBody() {
        List<UpstreamCall> calls =
                List.of(
                        call("/v1?key=" + SECRET, "value", ""),
                        call("/v1", "Bearer " + KEY, ""),
                        call("/v1", "value", "{\"key\": \"" + KEY + "\"}"));
        for (UpstreamCall call : calls) {
            Flux<UpstreamResponsePart> parts = mClient.send(call);
            List<Throwable> failures = new ArrayList<>();
            parts.subscribe(part -> {}, failures::add);
            assertThat(failures.size(), is(1));
        }
        Invariant hidden = Invariant.KEY_HIDDEN_FROM_UPSTREAMS;
        assertThat(mViolated, contains(hidden, hidden, hidden));
    }

    @Test
    void reportsNoViolationForARequestWithoutTheKey() {
        mClient.send(call("/v1", "value", "{}"));
        assertThat(mViolated, empty());
    }

    private static UpstreamCall call(String uri, String header, String body) {
        UpstreamSpec upstream =
                new UpstreamSpec(
                        new UpstreamId("engine-1"),
                        new PoolName("small"),
                        "127.0.0.1",
                        1,
                        new FailureDomain("fd-1"),
                        CapacityKind.REGULAR,
                        8,
                        Fencing.IGNORED,
                        UpstreamState.SERVING);
        return new UpstreamCall(
                new RequestId("r1"),
                upstream,
                UpstreamKind.ENGINE,
                "POST",
                uri,
                List.of(new HeaderField("X-Forwarded-Key", header)),
                body.getBytes(StandardCharsets.UTF_8),
                PresentedSecret.of(Option.some("Bearer " + KEY)));
    }
}
