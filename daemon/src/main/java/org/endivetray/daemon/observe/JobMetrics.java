package org.endivetray.daemon.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of a daemon that schedules jobs.
 *
 * <p>Invariants: names carry their unit.
 *
 * <p>This class is thread-safe.
 */
public final class JobMetrics {
    private static final double[] LATENCY_SECONDS = {
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mAnswers =
            counter("endivetray_job_answers", "Answers to callers.", "action", "verdict");
    private final Counter mStarts =
            counter("endivetray_task_starts", "Start orders by outcome.", "pool", "outcome");
    private final Counter mEnds =
            counter("endivetray_task_ends", "Ends of runs by kind.", "pool", "end");
    private final Counter mTakeovers =
            counter("endivetray_shard_takeovers", "Shards taken over by this daemon.", "pool");
    private final Gauge mWaiting =
            Gauge.builder()
                    .name("endivetray_tasks_waiting")
                    .help("Tasks that could start and wait for room.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Histogram mStartDelay =
            histogram("endivetray_first_start_seconds", "Time from acceptance to the first start.");
    private final Histogram mAnswerTime =
            histogram("endivetray_job_answer_seconds", "Time from a request to its answer.");

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_SECONDS)
                .register(mRegistry);
    }

    /** Records an answer to a caller. */
    public void onAnswer(String action, String verdict, long nanos) {
        mAnswers.labelValues(action, verdict).inc();
        mAnswerTime.observe(nanos / 1e9);
    }

    /** Records the outcome of a start order. */
    public void onStartOrder(String pool, String outcome) {
        mStarts.labelValues(pool, outcome).inc();
    }

    /** Records the end of a run. */
    public void onRunEnd(String pool, String end) {
        mEnds.labelValues(pool, end).inc();
    }

    /** Records that a shard was taken over. */
    public void onTakeover(String pool) {
        mTakeovers.labelValues(pool).inc();
    }

    /** Records the number of tasks that wait for room. */
    public void onWaitingTasks(String pool, int tasks) {
        mWaiting.labelValues(pool).set(tasks);
    }

    /** Records the time from acceptance to the first start, in nanoseconds. */
    public void onFirstStart(long nanos) {
        mStartDelay.observe(nanos / 1e9);
    }

    /** Returns all metrics in Prometheus's text format. */
    public String text() {
        return MetricsText.of(mRegistry);
    }
}
