package org.endivetray.daemon.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.endivetray.policy.job.CompletionEstimate;
import org.endivetray.policy.job.MemoryLimit;

/**
 * The metrics of a daemon that schedules jobs.
 *
 * <p>Invariants: the name of a metric that has a unit includes the unit.
 *
 * <p>This class is thread-safe.
 */
public final class JobMetrics {
    private static final double[] LATENCY_SECONDS = {
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mAnswers =
            counter(
                    "endivetray_job_answers",
                    "Answers to callers by action and verdict.",
                    "action",
                    "verdict");
    private final Counter mStarts =
            counter("endivetray_task_starts", "Start orders by outcome.", "pool", "outcome");
    private final Counter mEnds =
            counter("endivetray_task_ends", "Ended runs by kind of end.", "pool", "end");
    private final Counter mTakeovers =
            counter("endivetray_shard_takeovers", "Shards taken over by this daemon.", "pool");
    private final Gauge mWaiting =
            Gauge.builder()
                    .name("endivetray_tasks_waiting")
                    .help("Tasks that are ready to start and wait for capacity.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Gauge mBehindShare =
            Gauge.builder()
                    .name("endivetray_accounts_behind_share")
                    .help("Accounts that wait within their rate and use less than their share.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Gauge mBeyondRate =
            Gauge.builder()
                    .name("endivetray_tasks_waiting_beyond_rate")
                    .help("Waiting tasks of jobs that are beyond the rate of their account.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Gauge mWaitEstimate =
            Gauge.builder()
                    .name("endivetray_wait_estimate_seconds")
                    .help("Estimated wait of a job that goes after all that waits, NaN if unsure.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Gauge mHeldTasks =
            Gauge.builder()
                    .name("endivetray_tasks_held")
                    .help("Tasks that the jobs of this daemon keep in memory.")
                    .labelNames("kind")
                    .register(mRegistry);
    private final Gauge mHeldRecordBytes =
            Gauge.builder()
                    .name("endivetray_job_record_bytes")
                    .help("Size of the records of all jobs that this daemon keeps, in bytes.")
                    .register(mRegistry);
    private final Histogram mStartDelay =
            histogram(
                    "endivetray_first_start_seconds",
                    "Time from the acceptance of a job to its first task start.");
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

    /** Records an answer to a caller and the time that it took, in nanoseconds. */
    public void onAnswer(String action, String verdict, long nanos) {
        mAnswers.labelValues(action, verdict).inc();
        mAnswerTime.observe(nanos / 1e9);
    }

    /** Records the outcome of a start order. */
    public void onStartOrder(String pool, String outcome) {
        mStarts.labelValues(pool, outcome).inc();
    }

    /** Records that a run ended. */
    public void onRunEnd(String pool, String end) {
        mEnds.labelValues(pool, end).inc();
    }

    /** Records that this daemon took over a shard. */
    public void onTakeover(String pool) {
        mTakeovers.labelValues(pool).inc();
    }

    /** Records the number of tasks that wait for capacity. */
    public void onWaitingTasks(String pool, int tasks) {
        mWaiting.labelValues(pool).set(tasks);
    }

    /**
     * Records what waits in a pool by account.
     *
     * @param pool name of the pool, not null
     * @param behindShare number of accounts that wait and use less than their share
     * @param beyondRate number of waiting tasks of jobs beyond the rate of their account
     */
    public void onAccounts(String pool, int behindShare, int beyondRate) {
        mBehindShare.labelValues(pool).set(behindShare);
        mBeyondRate.labelValues(pool).set(beyondRate);
    }

    /** Records the estimate for a job that is submitted to a pool now. */
    public void onWaitEstimate(String pool, CompletionEstimate estimate) {
        mWaitEstimate
                .labelValues(pool)
                .set(estimate.isSure() ? estimate.waitMillis() / 1e3 : Double.NaN);
    }

    /** Records what the jobs of this daemon take of its memory. */
    public void onMemoryUse(MemoryLimit.Use use) {
        mHeldTasks.labelValues("scheduled").set(use.scheduledTasks());
        mHeldTasks.labelValues("unscheduled").set(use.unscheduledTasks());
        mHeldRecordBytes.set(use.recordBytes());
    }

    /** Records the time from the acceptance of a job to its first task start, in nanoseconds. */
    public void onFirstStart(long nanos) {
        mStartDelay.observe(nanos / 1e9);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        return MetricsText.of(mRegistry);
    }
}
