package org.endivetray.daemon.job;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.endivetray.daemon.observe.JobMetrics;

/**
 * Serves the metrics in text form over HTTP.
 *
 * <p>This class is thread-safe.
 */
final class MetricsServer {
    private final Vertx mVertx;
    private final JobMetrics mMetrics;

    MetricsServer(Vertx vertx, JobMetrics metrics) {
        mVertx = vertx;
        mMetrics = metrics;
    }

    Future<Void> start(String host, int port) {
        return mVertx.createHttpServer()
                .requestHandler(request -> request.response().end(mMetrics.text()))
                .listen(port, host)
                .mapEmpty();
    }
}
