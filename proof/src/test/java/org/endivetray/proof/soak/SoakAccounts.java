package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The client accounts of a soak: their keys, of which some are revoked for a time, and their caps,
 * which are lowered for a time.
 *
 * <p>Each account has a key that is always valid and one that may be revoked. Without accounts the
 * manifest names none and no call has a key.
 *
 * <p>Invariants: a breach that is reported breaks a rule as the platform states it, whichever
 * daemon is cut off or paused.
 *
 * <p>This class is thread-safe.
 */
final class SoakAccounts {
    private static final List<String> NAMES = List.of("desk", "pilots", "yard");
    private static final int CAP_CPU = 9_000;
    private static final int LOWERED_CPU = 1_500;
    private static final double OVERAGE = 0.1;

    /**
     * Time after a change of the manifest in which a daemon may act by the version before. It
     * covers the pause of a daemon, or a partition, after which one that was not in touch learns of
     * it.
     */
    private static final long CHANGE_MILLIS = 17_000;

    /** Start of a change, until which the value before it may be in force. */
    private record Change(long millis) {
        boolean isInForce() {
            return System.currentTimeMillis() - millis >= CHANGE_MILLIS;
        }
    }

    private final boolean mIsUsed;

    /** The accounts whose second key is revoked. */
    private final Map<String, Change> mRevoked = new ConcurrentHashMap<>();

    /** The accounts whose cap is lowered. */
    private final Map<String, Change> mLowered = new ConcurrentHashMap<>();

    /** Processes that have rejected the second key of an account since it was revoked. */
    private final Set<String> mRejections = ConcurrentHashMap.newKeySet();

    SoakAccounts(boolean isUsed) {
        mIsUsed = isUsed;
    }

    /** Returns the account of a job, empty if there are no accounts. */
    String accountOf(String job) {
        return mIsUsed ? NAMES.get(Math.floorMod(job.hashCode(), NAMES.size())) : "";
    }

    /** Returns the key of a job's account that is always valid, empty if there are no accounts. */
    String validKey(String job) {
        return mIsUsed ? accountOf(job) + "-1" : "";
    }

    /** Returns a key with which to submit a job: valid, maybe revoked, or seldom unknown. */
    String anyKey(String job, Random random) {
        if (!mIsUsed) {
            return "";
        }
        int draw = random.nextInt(20);
        return draw == 0 ? "unknown" : accountOf(job) + (draw < 10 ? "-1" : "-2");
    }

    /** Adds the accounts to a manifest. */
    void addTo(ObjectNode manifest) {
        if (!mIsUsed) {
            return;
        }
        manifest.path("routes").forEach(route -> ((ObjectNode) route).put("public", false));
        ArrayNode accounts = manifest.putArray("tenants");
        for (String name : NAMES) {
            ObjectNode account = accounts.addObject().put("name", name);
            ArrayNode keys = account.putArray("api_keys").add(name + "-1");
            if (!mRevoked.containsKey(name)) {
                keys.add(name + "-2");
            }
            account.put("priority", 1).put("weight", 10);
            int cap = mLowered.containsKey(name) ? LOWERED_CPU : CAP_CPU;
            account.putObject("max_count").put("cpu", cap).put("mem_mb", 0).put("gpu", 0);
        }
    }

    private static Change now() {
        return new Change(System.currentTimeMillis());
    }

    /** Revokes the second key of an account, for longer than a daemon may take to learn of it. */
    void revoke(SoakSite site, Random random) {
        String name = NAMES.get(random.nextInt(NAMES.size()));
        if (mRevoked.putIfAbsent(name, now()) == null) {
            site.record().add("the second key of " + name + " is revoked");
            site.writeManifest();
            SoakRecord.sleep(CHANGE_MILLIS + random.nextInt(6_000));
            mRevoked.remove(name);
            mRejections.removeIf(rejection -> rejection.startsWith(name + " "));
            site.writeManifest();
            site.record().add("the second key of " + name + " is valid again");
        }
    }

    /** Lowers the cap of an account far below what it may run, for a time. */
    void lower(SoakSite site, Random random) {
        String name = NAMES.get(random.nextInt(NAMES.size()));
        if (mLowered.putIfAbsent(name, now()) == null) {
            site.record().add("the cap of " + name + " is lowered");
            site.writeManifest();
            SoakRecord.sleep(3_000 + random.nextInt(20_000));
            if (mLowered.remove(name) != null) {
                site.writeManifest();
                site.record().add("the cap of " + name + " is as before");
            }
        }
    }

    /** Raises all caps again, so that the jobs that are left can end. */
    void raiseCaps(SoakSite site) {
        if (!mLowered.isEmpty()) {
            mLowered.clear();
            site.writeManifest();
            site.record().add("all caps are as before");
        }
    }

    /**
     * Judges the answer to a submission.
     *
     * @param key the key with which it was sent
     * @param process name and start of the daemon that answered
     * @param sentMillis when it was sent, in milliseconds since 1970
     * @param status its status
     */
    void judge(SoakRules rules, String key, String process, long sentMillis, int status) {
        boolean isServed = status / 100 == 2;
        if (key.equals("unknown")) {
            if (isServed) {
                rules.breach("ROUTE", "an unknown key is served by " + process);
            }
            return;
        }
        String name = key.contains("-") ? key.substring(0, key.indexOf('-')) : "";
        Change revoked = key.endsWith("-2") ? mRevoked.get(name) : null;
        if (revoked == null || sentMillis < revoked.millis()) {
            return;
        }
        if (status == 401) {
            mRejections.add(name + " " + process);
        } else if (isServed && mRejections.contains(name + " " + process)) {
            rules.breach("CONFIG", key + " is served again by " + process);
        } else if (isServed && sentMillis - revoked.millis() >= CHANGE_MILLIS) {
            rules.breach("CONFIG", key + " is served by " + process + " long after it was revoked");
        }
    }

    /**
     * Judges a start of a task.
     *
     * @param account the account of its job
     * @param runningCpu what the account runs on all minions, with the task, in thousandths of a
     *     core
     * @param taskCpu what the task takes of it
     */
    void judgeStart(SoakRules rules, String account, int runningCpu, int taskCpu) {
        Change lowered = mLowered.get(account);
        int cap = lowered != null && lowered.isInForce() ? LOWERED_CPU : CAP_CPU;
        if (mIsUsed && runningCpu > cap * (1 + OVERAGE) + taskCpu) {
            rules.breach("QUOTA", account + " runs " + runningCpu + " of at most " + cap);
        }
    }
}
