package org.endivetray.daemon.job;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.platform.intake.PortConnections;
import org.endivetray.policy.intake.IntakeLimits;

/**
 * Serves the metrics in text form over HTTP.
 *
 * <p>This class is thread-safe.
 */
final class MetricsServer {
    private final Vertx mVertx;
    private final JobMetrics mMetrics;
    private final PortConnections mConnections;

    MetricsServer(Vertx vertx, JobMetrics metrics, IntakeLimits limits) {
        mVertx = vertx;
        mMetrics = metrics;
        mConnections =
                new PortConnections(limits.innerConnections(), metrics::onRefusedBeforeReceipt);
    }

    /** Starts listening and returns the port. */
    Future<Integer> start(String host, int port) {
        return mConnections
                .server(
                        mVertx,
                        new HttpServerOptions()
                                .setAcceptBacklog(IntakeLimits.INNER_BACKLOG)
                                .setMaxHeaderSize(IntakeLimits.MAX_HEAD_BYTES))
                .requestHandler(this::onRequest)
                .listen(port, host)
                .map(HttpServer::actualPort);
    }

    private void onRequest(HttpServerRequest request) {
        if (!mConnections.closeIfAnswersAreNotRead(request)) {
            mConnections.answer(request, mMetrics.text());
        }
    }
}
