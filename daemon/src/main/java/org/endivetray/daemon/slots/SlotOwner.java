package org.endivetray.daemon.slots;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.endivetray.ListedHost;
import org.endivetray.MinionEndpoint;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.membership.Membership;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateView;
import org.endivetray.policy.SlotAllocator;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.SlotCell;
import org.endivetray.wire.gen.SlotGrant;
import org.endivetray.wire.gen.SlotReport;

/**
 * Divides the slots of the services that this daemon owns between all daemons.
 *
 * <p>A ledger is kept for a service while this daemon owns it and is begun anew when it becomes the
 * owner; it then first learns what each daemon holds.
 *
 * <p>When daemons are split so that none of one side reaches the other, each daemon of the smaller
 * side uses a fixed share by itself, and the owner on the larger side leaves that share free for
 * it.
 *
 * <p>Invariants: a report for a service that this daemon does not own is refused.
 *
 * <p>This class is thread-safe; its ledgers belong to its own thread.
 */
public final class SlotOwner {
    /** Time for which a grant holds after the report that it answers, in milliseconds. */
    public static final int GRANT_TTL_MILLIS = 3_000;

    /** Prefix of the keys by which services are spread over daemons. */
    public static final String OWNERSHIP_KEY_PREFIX = "slots/";

    private static final int RING_ENTRIES = 4_096;
    private static final long TICK_MILLIS = 250;

    private final Membership mMembership;
    private final StateView mView;
    private final String mName;
    private final long mIncarnation;
    private final int mSlotsPerMinion;
    private final int mIsolatedShare;
    private final Duty mDuty;
    private final Map<String, SlotAllocator> mLedgers = new TreeMap<>();

    /**
     * Constructs an owner that has not been started.
     *
     * @param membership carries messages, not null
     * @param view the stored state, not null
     * @param slotsPerMinion requests that a minion runs at once
     * @param isolatedShare slots of each minion that an unreachable daemon uses by itself
     */
    public SlotOwner(Membership membership, StateView view, int slotsPerMinion, int isolatedShare) {
        mMembership = membership;
        mView = view;
        mName = membership.self().name();
        mIncarnation = membership.self().incarnation();
        mSlotsPerMinion = slotsPerMinion;
        mIsolatedShare = isolatedShare;
        mDuty = new Duty("slots", RING_ENTRIES, TICK_MILLIS, this::dropForeignLedgers);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread. */
    public void stop() {
        mDuty.stop();
    }

    /**
     * Answers a daemon's report with its grant.
     *
     * @param daemon the reporting daemon's name, not null
     * @param report its demand, not null
     */
    public Future<Body> onReport(String daemon, SlotReport report) {
        return Future.fromCompletionStage(mDuty.call(() -> grantFor(daemon, report)));
    }

    private Body grantFor(String daemon, SlotReport report) {
        String service = report.getServiceName();
        if (!isOwner(service) || !mMembership.isDiscoveryComplete() || mMembership.isMinority()) {
            return Body.failure("not the owner of " + service);
        }
        long now = System.nanoTime();
        SlotAllocator ledger =
                mLedgers.computeIfAbsent(
                        service,
                        name ->
                                new SlotAllocator(
                                        TimeUnit.MILLISECONDS.toNanos(GRANT_TTL_MILLIS),
                                        mMembership.present(),
                                        now));
        ledger.setCapacity(capacityOf(service));
        Set<String> changed =
                ledger.onReport(
                        daemon,
                        report.getWaiting(),
                        toCells(report),
                        report.getReportSeq(),
                        report.getAppliedSeq(),
                        now);
        changed.forEach(other -> push(service, ledger, other));
        return Body.slotGrant(grant(service, ledger, daemon));
    }

    private void push(String service, SlotAllocator ledger, String daemon) {
        mMembership
                .send(daemon, Body.slotGrant(grant(service, ledger, daemon)))
                .onSuccess(
                        reply -> {
                            if (reply.isSetSlotReport()) {
                                mDuty.submit(() -> onPushed(daemon, reply.getSlotReport()));
                            }
                        });
    }

    private void onPushed(String daemon, SlotReport report) {
        SlotAllocator ledger = mLedgers.get(report.getServiceName());
        if (ledger == null) {
            return;
        }
        Set<String> changed =
                ledger.onReport(
                        daemon,
                        report.getWaiting(),
                        toCells(report),
                        report.getReportSeq(),
                        report.getAppliedSeq(),
                        System.nanoTime());
        if (ledger.grantSeqOf(daemon) > report.getAppliedSeq()) {
            changed.add(daemon);
        }
        changed.forEach(other -> push(report.getServiceName(), ledger, other));
    }

    private SlotGrant grant(String service, SlotAllocator ledger, String daemon) {
        return new SlotGrant(
                service,
                mName,
                mIncarnation,
                ledger.grantSeqOf(daemon),
                GRANT_TTL_MILLIS,
                ledger.limitsOf(daemon),
                ledger.isContended());
    }

    private static Map<String, SlotAllocator.SlotUsage> toCells(SlotReport report) {
        Map<String, SlotAllocator.SlotUsage> cells = new HashMap<>();
        for (SlotCell cell : report.getCells()) {
            cells.put(
                    cell.getMinion(),
                    new SlotAllocator.SlotUsage(cell.getSlotLimit(), cell.getInFlight()));
        }
        return cells;
    }

    private boolean isOwner(String service) {
        return mMembership.owner(OWNERSHIP_KEY_PREFIX + service).equals(mName);
    }

    private void dropForeignLedgers() {
        mLedgers.keySet().removeIf(service -> !isOwner(service));
    }

    private Map<String, Integer> capacityOf(String service) {
        Map<String, Integer> capacity = new TreeMap<>();
        int slots = Math.max(0, mSlotsPerMinion - mMembership.unreachableCount() * mIsolatedShare);
        Snapshot snapshot = mView.snapshot();
        for (ListedHost host : snapshot.fleet().listedHosts()) {
            if (!snapshot.acceptsNewWork(host)) {
                continue;
            }
            for (MinionEndpoint minion : host.minions()) {
                if (minion.service().equals(service)) {
                    capacity.put(minion.address(), slots);
                }
            }
        }
        return capacity;
    }
}
