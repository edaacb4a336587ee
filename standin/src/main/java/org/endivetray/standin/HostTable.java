package org.endivetray.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.MinionEndpoint;

/**
 * The hosts of the platform's stand-in, and the list of them that lags behind.
 *
 * <p>Invariants: an operation id has one effect.
 *
 * <p>This class is not thread-safe; its server's event loop owns it.
 */
public final class HostTable {
    private final Map<String, ListedHost> mHosts = new TreeMap<>();
    private final MinionAddresses mMinions;
    private final long mLagMillis;
    private final long mRebootMillis;
    private final Deque<Frame> mFrames = new ArrayDeque<>();
    private final Map<String, Long> mRebootEnds = new HashMap<>();
    private final Map<String, String> mRebootWorkers = new HashMap<>();
    private final Set<String> mOperations = new HashSet<>();
    private final Set<String> mFailing = new HashSet<>();
    private List<ListedHost> mListed = List.of();

    HostTable(List<ListedHost> hosts, MinionAddresses minions, long lagMillis, long rebootMillis) {
        mMinions = minions;
        mLagMillis = lagMillis;
        mRebootMillis = rebootMillis;
        hosts.forEach(host -> mHosts.put(host.worker(), host));
        mListed = List.copyOf(mHosts.values());
    }

    List<ListedHost> listedHosts() {
        return mListed;
    }

    int rebootCount() {
        return mRebootEnds.size();
    }

    /** Ends reboots that are due, and moves the list on. */
    void tick(long nowMillis) {
        mRebootEnds.forEach(
                (operation, ends) -> {
                    String worker = mRebootWorkers.get(operation);
                    if (ends <= nowMillis && !mFailing.contains(worker)) {
                        if (mOperations.add(operation + "/up")) {
                            setStatus(worker, ListedStatus.LIVE.name());
                        }
                    }
                });
        mFrames.add(new Frame(nowMillis + mLagMillis, List.copyOf(mHosts.values())));
        while (!mFrames.isEmpty() && mFrames.peek().visibleMillis() <= nowMillis) {
            mListed = mFrames.poll().hosts();
        }
    }

    void setStatus(String worker, String status) {
        mHosts.computeIfPresent(
                worker, (name, host) -> host.withStatus(ListedStatus.valueOf(status)));
    }

    void failReboots(String worker) {
        mFailing.add(worker);
    }

    void assignServices(String worker, String services, String operation) {
        if (!mOperations.add(operation)) {
            return;
        }
        List<MinionEndpoint> minions = new ArrayList<>();
        for (String service : Arrays.asList(services.split(","))) {
            if (!service.isEmpty()) {
                minions.add(mMinions.find(worker, service));
            }
        }
        mHosts.computeIfPresent(worker, (name, host) -> host.withMinions(minions));
    }

    String reboot(String worker, String operation, long nowMillis) {
        if (mRebootEnds.putIfAbsent(operation, nowMillis + mRebootMillis) == null) {
            mRebootWorkers.put(operation, worker);
            setStatus(worker, ListedStatus.DOWN.name());
        }
        if (mRebootEnds.get(operation) > nowMillis) {
            return "RUNNING";
        }
        return mFailing.contains(worker) ? "FAILED" : "HEALTHY";
    }

    /** Finds the address of a minion. */
    @FunctionalInterface
    public interface MinionAddresses {
        /** Returns the endpoint of the service's minion on the worker. */
        MinionEndpoint find(String worker, String service);
    }

    /** The hosts as they become visible at a time. */
    private record Frame(long visibleMillis, List<ListedHost> hosts) {}
}
