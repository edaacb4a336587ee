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
 * Reports this daemon's demand for slots to their owners and applies the grants.
 *
 * <p>A report is sent at once when a request finds no free slot, again while requests wait, and
 * otherwise often enough to keep the grants.
 *
 * <p>Invariants: at most one report per service waits for its reply; limits end with the grant's
 * time to live, counted from the sending of the report.
 *
 * <p>This class is thread-safe; its state belongs to the router's thread.
 */
public final class SlotRequester {
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long WAITING_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long DUE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Duty mDuty;
    private final Transport mMessages;
    private final Consumer<ServiceState> mOnGranted;
    private final boolean mGranted;
    private final Map<String, ServiceState> mByName = new HashMap<>();

    SlotRequester(
            Duty duty, Transport messages, Consumer<ServiceState> onGranted, RoutingPolicy policy) {
        mDuty = duty;
        mMessages = messages;
        mOnGranted = onGranted;
        mGranted = policy == RoutingPolicy.GRANTED;
    }

    /**
     * Applies a grant that the owner sent on its own, and returns this daemon's new report.
     *
     * @param grant the grant, not null
     */
    public Future<Body> onPushedGrant(SlotGrant grant) {
        return Future.fromCompletionStage(mDuty.call(() -> applyPush(grant)));
    }

    /** Reports at once if the last report is not just under way. */
    void onNoFreeSlot(ServiceState service) {
        long now = System.nanoTime();
        if (mGranted && !service.isReporting() && !mMessages.isIsolated()) {
            if (now - service.lastReportNanos() >= WAITING_NANOS) {
                report(service, now);
            }
        }
    }

    /** Reports if it is time to. */
    void tick(ServiceState service, long nowNanos) {
        if (!mGranted) {
            return;
        }
        mByName.put(service.declaration().name(), service);
        if (mMessages.isIsolated()) {
            service.useIsolatedShare(mMessages.isolatedShare(), nowNanos + IDLE_NANOS);
            return;
        }
        service.expireLimits(nowNanos);
        long since = nowNanos - service.lastReportNanos();
        boolean due = service.isReportDue() && since >= DUE_NANOS;
        boolean waiting = service.queue().size() > 0 && since >= WAITING_NANOS;
        if (!service.isReporting() && (due || waiting || since >= IDLE_NANOS)) {
            report(service, nowNanos);
        }
    }

    private void report(ServiceState service, long nowNanos) {
        String name = service.declaration().name();
        String owner = mMessages.ownerOf(name);
        SlotReport report = service.beginReport(name, owner, nowNanos);
        mMessages
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

    private Body applyPush(SlotGrant grant) {
        ServiceState service = mByName.get(grant.getServiceName());
        if (service == null) {
            return Body.failure("service is not known");
        }
        if (service.applyGrant(grant)) {
            mOnGranted.accept(service);
        }
        return Body.slotReport(service.newReport(grant.getServiceName()));
    }

    /** Carries reports to slot owners. */
    public interface Transport {
        /** Returns the daemon that owns the service's slots. */
        String ownerOf(String service);

        /** Returns whether no owner can be reached, so that only a fixed share may be used. */
        boolean isIsolated();

        /** Returns the slots of each minion that may be used without an owner. */
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
