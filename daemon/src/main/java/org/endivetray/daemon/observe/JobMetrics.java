package org.endivetray.daemon.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.endivetray.policy.intake.IntakeReason;
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
    private final Counter mRejectedKeys =
            counter(
                    "endivetray_rejected_keys",
                    "Calls without a valid key of a client account.",
                    "queue");
    private final Counter mStarts =
            counter("endivetray_task_starts", "Start orders by outcome.", "pool", "outcome");
    private final Counter mEnds =
            counter("endivetray_task_ends", "Ended runs by kind of end.", "pool", "end");
    private final Counter mUnexpectedErrors =
            counter(
                    "endivetray_unexpected_errors",
                    "Parts of a pass that ended with an unexpected error.",
                    "part");
    private final Counter mTakeovers =
            counter("endivetray_shard_takeovers", "Shards taken over by this daemon.", "pool");
    private final Counter mQuotaCommits =
            counter(
                    "endivetray_quota_commits",
                    "Changes of the pools' shares in accounts' caps, by outcome.",
                    "outcome");
    private final Gauge mQuotaWaiting =
            Gauge.builder()
                    .name("endivetray_quota_tasks_waiting")
                    .help("Tasks that are ready to start and wait for room of their account.")
                    .labelNames("pool")
                    .register(mRegistry);
    private final Counter mRefusedBeforeReceipt =
            counter(
                    "endivetray_requests_not_received",
                    "Requests refused, and connections closed, before receipt, by reason.",
                    "reason");
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

    private final Counter mNearWaits =
            counter(
                    "endivetray_near_waits",
                    "Waits for a place near a task's data by step: begun, or by task: how they"
                            + " ended.",
                    "pool",
                    "event");
    private final Counter mPlaceForecasts =
            counter(
                    "endivetray_place_forecasts",
                    "Forecasts of the ends on a minion, for steps that may wait for a near place.",
                    "pool");
    private final Counter mNearWaitGain =
            counter(
                    "endivetray_near_wait_gain_seconds",
                    "Time by which tasks ended earlier since they waited for a near place.",
                    "pool");
    private final Counter mNearWaitRegret =
            counter(
                    "endivetray_near_wait_regret_seconds",
                    "Time by which tasks ended later since they waited for a near place.",
                    "pool");

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

    /** Records that a call of a queue was rejected for lack of a valid key. */
    public void onRejectedKey(String queue) {
        mRejectedKeys.labelValues(queue).inc();
    }

    /** Records that a request was refused, or a connection closed, before it was received. */
    public void onRefusedBeforeReceipt(IntakeReason reason) {
        mRefusedBeforeReceipt.labelValues(reason.label()).inc();
    }

    /**
     * Shows what is held of requests that have not been answered.
     *
     * @param heldBytes returns the held bytes, not null
     * @param openConnections returns the number of open connections of callers, not null
     */
    public void observeIntake(LongSupplier heldBytes, IntSupplier openConnections) {
        GaugeWithCallback.builder()
                .name("endivetray_request_bytes")
                .help("Room of the requests that have not been answered, in bytes.")
                .callback(callback -> callback.call(heldBytes.getAsLong()))
                .register(mRegistry);
        GaugeWithCallback.builder()
                .name("endivetray_caller_connections")
                .help("Open connections of callers.")
                .callback(callback -> callback.call(openConnections.getAsInt()))
                .register(mRegistry);
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

    /** Records an unexpected error in a part of a pass. */
    public void onUnexpectedError(String part) {
        mUnexpectedErrors.labelValues(part).inc();
    }

    /** Records the number of tasks that wait for capacity. */
    public void onWaitingTasks(String pool, int tasks) {
        mWaiting.labelValues(pool).set(tasks);
    }

    /** Records the outcome of a change of shares in an account's cap. */
    public void onQuotaCommit(String outcome) {
        mQuotaCommits.labelValues(outcome).inc();
    }

    /** Records the number of tasks that wait for room of their account. */
    public void onQuotaWaitingTasks(String pool, int tasks) {
        mQuotaWaiting.labelValues(pool).set(tasks);
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

    /** Records that the ends on a minion were forecast. */
    public void onPlaceForecast(String pool) {
        mPlaceForecasts.labelValues(pool).inc();
    }

    /** Records that tasks of a step began to wait for a near place. */
    public void onNearWaitBegun(String pool) {
        mNearWaits.labelValues(pool, "begun").inc();
    }

    /**
     * Records that a task which has waited for a near place was started.
     *
     * @param isNear whether it was started near its data
     * @param gainMillis time that this saves, in milliseconds, negative if it costs time
     */
    public void onNearWaitEnded(String pool, boolean isNear, long gainMillis) {
        mNearWaits.labelValues(pool, isNear ? "near" : "away").inc();
        if (gainMillis >= 0) {
            mNearWaitGain.labelValues(pool).inc(gainMillis / 1e3);
        } else {
            mNearWaitRegret.labelValues(pool).inc(-gainMillis / 1e3);
        }
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
