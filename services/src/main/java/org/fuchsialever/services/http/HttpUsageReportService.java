package org.fuchsialever.services.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;
import org.fuchsialever.services.UsageReportService;
import reactor.core.publisher.Mono;

/** The interface for usage reports over HTTP. */
final class HttpUsageReportService implements UsageReportService {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int CONFLICT = 409;

    private final InterfaceClient mClient;

    HttpUsageReportService(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<Boolean> report(String window, byte[] report, BooleanSupplier stillHolding) {
        return mClient.changeWhile(
                stillHolding,
                HttpMethod.PUT,
                "/usage-reports/" + InterfaceClient.encode(window),
                report,
                response -> {
                    if (response.status() == OK || response.status() == CREATED) {
                        return true;
                    }
                    if (response.status() == CONFLICT) {
                        return false;
                    }
                    throw response.unexpectedStatus();
                });
    }
}
