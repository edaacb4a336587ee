package org.endivetray.daemon.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.ListedHost;
import org.endivetray.Member;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.ServiceDeclaration;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.FleetView;

/**
 * The stored state and the host list as a daemon knows them at one point in time.
 *
 * <p>Invariants: each key has the highest version that was seen; a record that cannot be decoded is
 * skipped and reported by {@link #damaged()}.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class Snapshot {
    /** The snapshot before anything has been read. */
    public static final Snapshot EMPTY = new Snapshot(0, Map.of(), Map.of(), null);

    private final long mRevision;
    private final Map<String, VersionedValue> mValues;
    private final Map<String, Object> mDecoded = new HashMap<>();
    private final Map<String, String> mDamaged = new TreeMap<>();
    private final Map<String, ListedHost> mListedHosts;
    private final FleetView mFleet;
    private final Map<String, ServiceDeclaration> mServices = new TreeMap<>();

    private Snapshot(
            long revision,
            Map<String, VersionedValue> raw,
            Map<String, ListedHost> listed,
            Snapshot previous) {
        mRevision = revision;
        mValues = raw;
        mListedHosts = listed;
        raw.values().forEach(value -> decode(value, previous));
        mFleet = buildFleet();
        for (Pool pool : mFleet.pools()) {
            for (ServiceDeclaration service : pool.services()) {
                mServices.putIfAbsent(service.name(), service);
            }
        }
    }

    /** Returns the revision of the store up to which the snapshot is complete. */
    public long revision() {
        return mRevision;
    }

    /** Returns the pools, host records, ledgers and host list. */
    public FleetView fleet() {
        return mFleet;
    }

    /** Returns whether new requests may be sent to minions on the host. */
    public boolean acceptsNewWork(ListedHost host) {
        return host.status().isAvailable()
                && mFleet.record(host.worker())
                        .filter(known -> known.state().acceptsNewWork())
                        .isPresent();
    }

    /** Returns the declaration of the service, or empty if no pool declares it. */
    public Optional<ServiceDeclaration> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all declared services. */
    public List<ServiceDeclaration> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the member with the name, or empty if there is none. */
    public Optional<Member> member(String name) {
        return decoded(StateKeys.MEMBER + name, Member.class);
    }

    /** Returns all plans. */
    public List<Plan> plans() {
        return allWithPrefix(StateKeys.PLAN, Plan.class);
    }

    /** Returns the plan with the id, or empty if there is none. */
    public Optional<Plan> plan(String id) {
        return decoded(StateKeys.PLAN + id, Plan.class);
    }

    /** Returns all registered daemons. */
    public List<Registration> daemons() {
        return allWithPrefix(StateKeys.DAEMON, Registration.class);
    }

    /** Returns whether the store has a liveness record of the daemon's incarnation. */
    public boolean isAlive(Registration daemon) {
        return decoded(StateKeys.LIVENESS + daemon.name(), LivenessRecord.class)
                .filter(alive -> alive.incarnation() == daemon.incarnation())
                .isPresent();
    }

    /** Returns the locks of confirmed plans. */
    public PlanLocks planLocks() {
        return decoded(StateKeys.PLAN_LOCKS, PlanLocks.class).orElse(PlanLocks.EMPTY);
    }

    /** Returns the shard of host records with the key, without records if it is not stored. */
    public HostShard hostShard(String key) {
        return decoded(key, HostShard.class).orElse(HostShard.EMPTY);
    }

    /** Returns the version of the key, or 0 if it is not stored. */
    public long version(String key) {
        VersionedValue value = mValues.get(key);
        return value == null || !value.isPresent() ? 0 : value.version();
    }

    /** Returns the keys of records that cannot be decoded, each with the reason. */
    public Map<String, String> damaged() {
        return Map.copyOf(mDamaged);
    }

    /** Returns whether the host list has been read and is not empty. */
    public boolean hasHostList() {
        return !mListedHosts.isEmpty();
    }

    /** Returns the values that changed after the revision, including deletions. */
    public List<VersionedValue> changedAfter(long revision) {
        return mValues.values().stream().filter(value -> value.version() > revision).toList();
    }

    /**
     * Returns a copy updated with the values that are newer than the known ones.
     *
     * @param values the values, from a read or a watch, not null
     * @param revision the store revision up to which the values are complete
     */
    public Snapshot withValues(List<VersionedValue> values, long revision) {
        Map<String, VersionedValue> next = new HashMap<>(mValues);
        for (VersionedValue value : values) {
            VersionedValue known = next.get(value.key());
            if (known == null || known.version() < value.version()) {
                next.put(value.key(), value);
            }
        }
        return new Snapshot(Math.max(mRevision, revision), next, mListedHosts, this);
    }

    /**
     * Returns a copy with the given values, in which other keys are deleted unless they changed
     * after the revision; returns this snapshot if it is newer than the revision.
     *
     * @param values all values in the store as of the revision, not null
     * @param revision the store revision of the values
     */
    public Snapshot withFullState(List<VersionedValue> values, long revision) {
        if (revision < mRevision) {
            return this;
        }
        Set<String> present = new HashSet<>();
        values.forEach(value -> present.add(value.key()));
        Map<String, VersionedValue> next = new HashMap<>(mValues);
        next.replaceAll(
                (key, known) ->
                        present.contains(key) || known.version() > revision
                                ? known
                                : new VersionedValue(key, revision, null));
        return new Snapshot(revision, next, mListedHosts, this).withValues(values, revision);
    }

    /**
     * Returns a copy with the host list, or this snapshot if the list is unchanged.
     *
     * @param hosts the hosts of the list, not null
     */
    public Snapshot withHostList(List<ListedHost> hosts) {
        Map<String, ListedHost> listed = new TreeMap<>();
        hosts.forEach(host -> listed.put(host.worker(), host));
        if (listed.equals(mListedHosts)) {
            return this;
        }
        return new Snapshot(mRevision, mValues, listed, this);
    }

    private void decode(VersionedValue value, Snapshot previous) {
        if (!value.isPresent()) {
            return;
        }
        if (previous != null && previous.mValues.get(value.key()) == value) {
            reuseDecoded(value.key(), previous);
            return;
        }
        Class<?> type = recordType(value.key());
        if (type == null) {
            mDamaged.put(value.key(), "unknown key");
            return;
        }
        try {
            mDecoded.put(value.key(), RecordCodec.decode(value.key(), value.value(), type));
        } catch (EndivetrayException e) {
            mDamaged.put(value.key(), e.getMessage());
        }
    }

    private void reuseDecoded(String key, Snapshot previous) {
        Object known = previous.mDecoded.get(key);
        if (known != null) {
            mDecoded.put(key, known);
        } else {
            mDamaged.put(key, previous.mDamaged.get(key));
        }
    }

    private static Class<?> recordType(String key) {
        if (key.equals(StateKeys.PLAN_LOCKS)) {
            return PlanLocks.class;
        }
        if (key.startsWith(StateKeys.POOL)) {
            return Pool.class;
        }
        if (key.startsWith(StateKeys.MEMBER)) {
            return Member.class;
        }
        if (key.startsWith(StateKeys.HOST_SHARD)) {
            return HostShard.class;
        }
        if (key.startsWith(StateKeys.LEDGER)) {
            return OutageLedger.class;
        }
        if (key.startsWith(StateKeys.PLAN)) {
            return Plan.class;
        }
        if (key.startsWith(StateKeys.LIVENESS)) {
            return LivenessRecord.class;
        }
        return key.startsWith(StateKeys.DAEMON) ? Registration.class : null;
    }

    private FleetView buildFleet() {
        Map<String, Pool> pools = new HashMap<>();
        allWithPrefix(StateKeys.POOL, Pool.class).forEach(pool -> pools.put(pool.name(), pool));
        Map<String, HostRecord> records = new HashMap<>();
        allWithPrefix(StateKeys.HOST_SHARD, HostShard.class)
                .forEach(shard -> records.putAll(shard.hosts()));
        Map<String, OutageLedger> ledgers = new HashMap<>();
        allWithPrefix(StateKeys.LEDGER, OutageLedger.class)
                .forEach(ledger -> ledgers.put(ledger.pool(), ledger));
        return new FleetView(pools, records, ledgers, mListedHosts);
    }

    private <T> Optional<T> decoded(String key, Class<T> type) {
        return Optional.ofNullable(type.cast(mDecoded.get(key)));
    }

    private <T> List<T> allWithPrefix(String prefix, Class<T> type) {
        return mDecoded.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> type.cast(entry.getValue()))
                .toList();
    }
}
