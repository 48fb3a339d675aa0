package larchridge.node.upstream;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient.ProbeListener;

/** A health check that requests an engine's load report. */
final class LoadProbe extends ControlCall {
    private static final String TARGET = "/metrics/load";

    private final LoadReportReader loadReports;
    private final ProbeListener listener;

    LoadProbe(UpstreamContext context, Endpoint endpoint, ProbeListener listener) {
        super(context.scheduler(), context.pools(), endpoint);
        this.loadReports = context.loadReports();
        this.listener = listener;
    }

    @Override
    HttpMethod method() {
        return HttpMethod.GET;
    }

    @Override
    String target() {
        return TARGET;
    }

    @Override
    void completed(ControlCallResult result) {
        if (result == ControlCallResult.NOT_SENT) {
            return;
        }
        boolean answered =
                result == ControlCallResult.ANSWERED && status() == HttpResponseStatus.OK.code();
        // An engine that has no report yet responds without one and must not count as failed.
        listener.completed(answered, answered ? loadReports.read(bodyText()) : null);
    }
}
