package org.endivetray.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.endivetray.AvailabilityBudget;
import org.endivetray.EndivetrayException;
import org.endivetray.FailureDomain;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.Member;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;

/**
 * A simulated site with 36 workers, four to a rack, in three availability zones, with five pools of
 * one service each and one spare pool.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum Site {
    /** A site whose workers have 32 cores and 65,536 MB of memory. */
    KOCHI(
            32,
            65_536,
            "support",
            List.of("charts", "routes", "passages", "leads", "rebuilds"),
            List.of("harbourline", "polestar", "northpilot", "deskwatch")),
    /** A site whose workers have 64 cores and 131,072 MB of memory. */
    KITAOKA(
            64,
            131_072,
            "office",
            List.of("bogies", "brakes", "couplers", "stocktake", "reorder"),
            List.of("sapporo", "asahikawa", "kushiro", "hakodate"));

    private static final int WORKERS = 36;
    private static final int RACK_SIZE = 4;
    private static final int ZONE_SIZE = 12;
    private static final int FLOOR_WORKERS = 4;
    private static final int MAX_OUTAGES = 2;
    private static final int[] SPARE_MINIONS = {0, 1, 2, 3, 1};

    private final int mCores;
    private final int mMemoryMb;
    private final String mSparePool;
    private final List<String> mServices;
    private final List<String> mMembers;

    Site(int cores, int memoryMb, String sparePool, List<String> services, List<String> members) {
        mCores = cores;
        mMemoryMb = memoryMb;
        mSparePool = sparePool;
        mServices = services;
        mMembers = members;
    }

    /** Returns the site of the given name, in any case. */
    public static Site ofName(String name) {
        try {
            return valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new EndivetrayException(
                    ResultCode.USAGE, "site must be kochi or kitaoka: '" + name + "'", e);
        }
    }

    /** Returns the name of the site in lower case. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the names of the services, one for each pool that is not spare. */
    public List<String> services() {
        return mServices;
    }

    /** Returns the names of the members that send requests. */
    public List<String> members() {
        return mMembers;
    }

    /** Returns the entries of the host list, without minions. */
    public List<ListedHost> hosts() {
        List<ListedHost> hosts = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            hosts.add(
                    new ListedHost(
                            worker(i),
                            label() + "-r" + i / RACK_SIZE,
                            label() + "-" + (char) ('a' + i / ZONE_SIZE),
                            mCores,
                            mMemoryMb,
                            0,
                            ListedStatus.LIVE,
                            List.of()));
        }
        return hosts;
    }

    /** Returns the services that are initially assigned to the worker of the given index. */
    public List<String> initialServices(int index) {
        int pool = index % (mServices.size() + 1);
        if (pool < mServices.size()) {
            return List.of(mServices.get(pool));
        }
        List<String> spares = new ArrayList<>();
        for (int service = 0; service < mServices.size(); service++) {
            for (int copy = 0; copy < SPARE_MINIONS[service]; copy++) {
                spares.add(mServices.get(service));
            }
        }
        int spare = index / (mServices.size() + 1);
        List<String> own = new ArrayList<>();
        for (int i = spare; i < spares.size(); i += WORKERS / (mServices.size() + 1)) {
            own.add(spares.get(i));
        }
        return own;
    }

    /** Returns the intent that creates the pools, members and host records of the site. */
    public Intent configuration() {
        List<Pool> pools = new ArrayList<>();
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(FLOOR_WORKERS).withMaxPlannedOutages(MAX_OUTAGES);
        for (int i = 0; i < mServices.size(); i++) {
            pools.add(Pool.of(mServices.get(i), budget).plusService(declaration(i)));
        }
        pools.add(
                new Pool(
                        mSparePool,
                        true,
                        new AvailabilityBudget(0, WORKERS, FailureDomain.NONE),
                        List.of()));
        List<HostRecord> joins = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            int pool = i % (mServices.size() + 1);
            String name = pool < mServices.size() ? mServices.get(pool) : mSparePool;
            joins.add(HostRecord.ofActive(worker(i), name));
        }
        List<Member> members = mMembers.stream().map(name -> new Member(name, 1)).toList();
        return Intent.ofConfiguration(pools, members, joins, Map.of());
    }

    private ServiceDeclaration declaration(int index) {
        boolean urgent = index < mServices.size() - 2;
        return new ServiceDeclaration(
                mServices.get(index), false, urgent, ServiceDeclaration.DEFAULT_DEADLINE_MILLIS);
    }

    private String worker(int index) {
        return String.format(Locale.ROOT, "%s-w%02d", label(), index);
    }
}
