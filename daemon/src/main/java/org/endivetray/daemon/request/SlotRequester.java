package org.endivetray.daemon.request;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.SlotGrant;
import org.endivetray.wire.gen.SlotReport;

/**
 * Reports this daemon's demand for slots to the slot owners and applies their grants.
 *
 * <p>A report is sent when a request finds no free slot, repeatedly while requests wait, and
 * otherwise often enough to renew the grants before they expire.
 *
 * <p>Invariants: at most one report per service awaits its reply; limits expire with the grant's
 * time to live, counted from when the report was sent.
 *
 * <p>This class is thread-safe; its state is confined to the router's thread.
 */
public final class SlotRequester {
    private static final long IDLE_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long WAITING_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Duty mDuty;
    private final Transport mTransport;
    private final Consumer<ServiceState> mOnGranted;
    private final boolean mUsesGrants;
    private final Map<String, ServiceState> mServices = new HashMap<>();

    SlotRequester(
            Duty duty,
            Transport transport,
            Consumer<ServiceState> onGranted,
            RoutingPolicy policy) {
        mDuty = duty;
        mTransport = transport;
        mOnGranted = onGranted;
        mUsesGrants = policy == RoutingPolicy.GRANTED;
    }

    /**
     * Applies a grant that the owner pushed, and returns this daemon's new report.
     *
     * @param grant the grant, not null
     */
    public Future<Body> onPushedGrant(SlotGrant grant) {
        return Future.fromCompletionStage(mDuty.call(() -> applyPushedGrant(grant)));
    }

    /** Reports that requests wait, unless a report awaits its reply or was sent too recently. */
    void onNoFreeSlot(ServiceState service) {
        long now = System.nanoTime();
        if (mUsesGrants && !service.isReporting() && !mTransport.isIsolated()) {
            if (now - service.lastReportNanos() >= WAITING_REPORT_INTERVAL_NANOS) {
                report(service, now);
            }
        }
    }

    /** Updates the limits and sends a report if one is due. */
    void tick(ServiceState service, long nowNanos) {
        if (!mUsesGrants) {
            return;
        }
        mServices.put(service.declaration().name(), service);
        if (mTransport.isIsolated()) {
            service.useIsolatedShare(
                    mTransport.isolatedShare(), nowNanos + IDLE_REPORT_INTERVAL_NANOS);
            return;
        }
        service.expireLimits(nowNanos);
        long sinceReportNanos = nowNanos - service.lastReportNanos();
        boolean due = service.isReportDue() && sinceReportNanos >= MIN_REPORT_INTERVAL_NANOS;
        boolean waiting =
                service.queue().size() > 0 && sinceReportNanos >= WAITING_REPORT_INTERVAL_NANOS;
        if (!service.isReporting()
                && (due || waiting || sinceReportNanos >= IDLE_REPORT_INTERVAL_NANOS)) {
            report(service, nowNanos);
        }
    }

    private void report(ServiceState service, long nowNanos) {
        String name = service.declaration().name();
        String owner = mTransport.ownerOf(name);
        SlotReport report = service.beginReport(name, owner, nowNanos);
        mTransport
                .report(owner, report)
                .onComplete(
                        reply -> mDuty.submit(() -> onReply(service, reply.result(), nowNanos)));
    }

    private void onReply(ServiceState service, SlotGrant grant, long reportedNanos) {
        service.endReport();
        if (grant == null) {
            return;
        }
        if (service.applyGrant(grant)) {
            service.setLimitsExpiry(
                    reportedNanos + TimeUnit.MILLISECONDS.toNanos(grant.getTtlMillis()));
            mOnGranted.accept(service);
        }
    }

    private Body applyPushedGrant(SlotGrant grant) {
        ServiceState service = mServices.get(grant.getServiceName());
        if (service == null) {
            return Body.failure("service is not known");
        }
        if (service.applyGrant(grant)) {
            mOnGranted.accept(service);
        }
        return Body.slotReport(service.newReport(grant.getServiceName()));
    }

    /** Sends reports to slot owners. */
    public interface Transport {
        /** Returns the daemon that owns the service's slots. */
        String ownerOf(String service);

        /** Returns whether no owner can be reached, so that only the isolated share may be used. */
        boolean isIsolated();

        /** Returns the number of slots of each minion that may be used without an owner's grant. */
        int isolatedShare();

        /**
         * Sends a report.
         *
         * @param owner the owner's name, not null
         * @param report the report, not null
         * @return the grant
         */
        Future<SlotGrant> report(String owner, SlotReport report);
    }
}
