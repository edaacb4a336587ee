package org.endivetray.daemon.observe;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;

/**
 * Writes metrics in the Prometheus text format.
 *
 * <p>This class has no state and is thread-safe.
 */
final class MetricsText {
    private MetricsText() {}

    /** Returns all metrics of a registry. */
    static String of(PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot write the metrics", e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
