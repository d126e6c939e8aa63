package org.fuchsialever.frontend.rollout;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.Supplier;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.ResponseWriter;

/** The services that the endpoints for trainers share. */
public final class RolloutServices {
    private final Supplier<Option<ConfigSnapshot>> snapshots;
    private final Supplier<RequestId> requestIds;
    private final Authenticator authenticator;
    private final RolloutPort port;
    private final ResponseWriter responseWriter;
    private final SubmissionReader reader = new SubmissionReader();
    private final RolloutForwarder forwarder = new RolloutForwarder();

    /**
     * Creates the services.
     *
     * @param snapshots returns the current configuration, if there is one
     * @param requestIds returns a new request ID each time
     * @param port executes requests
     */
    public RolloutServices(
            Supplier<Option<ConfigSnapshot>> snapshots,
            Supplier<RequestId> requestIds,
            Authenticator authenticator,
            RolloutPort port,
            ResponseWriter responseWriter) {
        this.snapshots = snapshots;
        this.requestIds = requestIds;
        this.authenticator = authenticator;
        this.port = port;
        this.responseWriter = responseWriter;
    }

    /** Returns all endpoints for trainers. */
    public List<Endpoint> endpoints() {
        return List.of(
                new SubmitEndpoint(this), new SamplesEndpoint(this), new AcknowledgeEndpoint(this));
    }

    Supplier<Option<ConfigSnapshot>> snapshots() {
        return snapshots;
    }

    Supplier<RequestId> requestIds() {
        return requestIds;
    }

    Authenticator authenticator() {
        return authenticator;
    }

    RolloutPort port() {
        return port;
    }

    ResponseWriter responseWriter() {
        return responseWriter;
    }

    SubmissionReader reader() {
        return reader;
    }

    RolloutForwarder forwarder() {
        return forwarder;
    }
}
