package org.endivetray.daemon.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.endivetray.ResultCode;
import org.endivetray.policy.intake.IntakeReason;

/**
 * The metrics of a daemon that routes requests.
 *
 * <p>Invariants: the name of a metric that has a unit includes the unit.
 *
 * <p>This class is thread-safe.
 */
public final class Metrics {
    private static final double[] LATENCY_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            counter(
                    "endivetray_requests",
                    "Requests by service and result code.",
                    "service",
                    "code");
    private final Counter mNotReceived =
            counter(
                    "endivetray_requests_not_received",
                    "Requests refused, and connections closed, before receipt, by reason.",
                    "reason");
    private final Counter mRetries =
            counter("endivetray_retries", "Requests sent to a second minion.", "service");
    private final Counter mPeerMessages =
            counter("endivetray_inner_messages", "Messages sent to other daemons.");
    private final Counter mEjections =
            counter("endivetray_ejections", "Minions ejected from routing.", "service");
    private final Histogram mLatency =
            Histogram.builder()
                    .name("endivetray_request_latency_seconds")
                    .help("Time from the receipt of a request to its result.")
                    .labelNames("service")
                    .classicOnly()
                    .classicUpperBounds(LATENCY_SECONDS)
                    .register(mRegistry);
    private final Gauge mSlots =
            gauge("endivetray_slots", "Slots that this daemon may use.", "service");
    private final Gauge mInFlight =
            gauge("endivetray_requests_in_flight", "Requests in flight to minions.", "service");
    private final Gauge mWaiting =
            gauge("endivetray_requests_waiting", "Requests that wait for a slot.", "service");
    private final Gauge mOpen =
            gauge("endivetray_requests_open", "Requests received that have no response yet.");
    private final Gauge mPoolAvailable =
            gauge("endivetray_pool_available_workers", "Available workers.", "pool");
    private final Gauge mPoolBuffer =
            gauge(
                    "endivetray_pool_buffer_workers",
                    "Available workers above the floor of the budget.",
                    "pool");
    private final Gauge mStoreUp =
            gauge("endivetray_store_up", "1 if the platform's store is up, else 0.");
    private final Gauge mRevision =
            gauge("endivetray_config_revision", "Store revision of the configuration in force.");
    private final Gauge mPlansRunning =
            gauge("endivetray_plans_running", "Active plans in the fleet.");
    private final Counter mMoves =
            counter("endivetray_host_moves", "Workers moved between pools by this daemon.");
    private final Histogram mRollout =
            Histogram.builder()
                    .name("endivetray_plan_rollout_seconds")
                    .help("Time from the first pass of this daemon over a plan to its end.")
                    .classicOnly()
                    .classicUpperBounds(1, 5, 15, 60, 300, 1800, 7200, 43200)
                    .register(mRegistry);

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    /** Records the result of a request and its latency in nanoseconds. */
    public void onResult(String service, ResultCode code, long nanos) {
        mRequests.labelValues(service, Integer.toString(code.number())).inc();
        mLatency.labelValues(service).observe(nanos / 1e9);
    }

    /** Records that a request was refused, or a connection closed, before it was received. */
    public void onRefusedBeforeReceipt(IntakeReason reason) {
        mNotReceived.labelValues(reason.label()).inc();
    }

    /** Records that a request is retried. */
    public void onRetry(String service) {
        mRetries.labelValues(service).inc();
    }

    /** Records a message sent to another daemon. */
    public void onInnerMessage() {
        mPeerMessages.inc();
    }

    /** Records that a minion was ejected from routing. */
    public void onEjection(String service) {
        mEjections.labelValues(service).inc();
    }

    /** Records the slots, requests in flight and waiting requests of a service. */
    public void onSlots(String service, int slots, int inFlight, int waiting) {
        mSlots.labelValues(service).set(slots);
        mInFlight.labelValues(service).set(inFlight);
        mWaiting.labelValues(service).set(waiting);
    }

    /** Records the number of requests that have no response yet. */
    public void onOpenRequests(int requests) {
        mOpen.set(requests);
    }

    /** Records a pool's available workers and how many of them are above its floor. */
    public void onPoolCapacity(String pool, int available, int buffer) {
        mPoolAvailable.labelValues(pool).set(available);
        mPoolBuffer.labelValues(pool).set(buffer);
    }

    /** Records whether the store is up. */
    public void onStoreAvailability(boolean up) {
        mStoreUp.set(up ? 1 : 0);
    }

    /** Records the store revision of the configuration in force. */
    public void onConfigRevision(long revision) {
        mRevision.set(revision);
    }

    /** Records the number of active plans. */
    public void onPlansRunning(int plans) {
        mPlansRunning.set(plans);
    }

    /** Records a number of workers moved between pools. */
    public void onMoves(int moves) {
        mMoves.inc(moves);
    }

    /** Records the time that a plan took, in seconds. */
    public void onRollout(double seconds) {
        mRollout.observe(seconds);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        return MetricsText.of(mRegistry);
    }
}
