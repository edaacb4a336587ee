package org.endivetray.proof.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What several faults of a soak have in common.
 *
 * <p>This class has no state and is thread-safe.
 */
final class FaultSteps {
    private FaultSteps() {}

    /**
     * Cuts some daemons and about half of the minions off from the store and all others; the
     * minions come back one by one, and then the daemons.
     */
    static void part(SoakSite site, List<SoakDaemon> daemons, Random random) {
        List<SoakMinion> inside = site.someMinions(random, 0.3 + 0.4 * random.nextDouble());
        List<SoakMinion> outside = new ArrayList<>(site.minions());
        outside.removeAll(inside);
        List<SoakDaemon> others = new ArrayList<>(site.daemons());
        others.removeAll(daemons);
        List<String> names = daemons.stream().map(SoakDaemon::name).toList();
        site.record().add("partition of " + names + " and " + inside);
        for (SoakDaemon daemon : daemons) {
            daemon.entrance().mIsSilent = true;
            daemon.moveToSide(daemons.get(0).number());
            outside.forEach(minion -> minion.cutFrom(daemon.name(), true));
        }
        for (SoakMinion minion : inside) {
            minion.silenceReports(true);
            others.forEach(other -> minion.cutFrom(other.name(), true));
        }
        SoakRecord.sleep(3_000 + random.nextInt(10_000));
        for (SoakMinion minion : inside) {
            minion.silenceReports(false);
            others.forEach(other -> minion.cutFrom(other.name(), false));
            SoakRecord.sleep(random.nextInt(100));
        }
        for (SoakDaemon daemon : daemons) {
            outside.forEach(minion -> minion.cutFrom(daemon.name(), false));
            daemon.entrance().mIsSilent = false;
            daemon.moveToSide(0);
        }
        site.record().add("end of the partition of " + names);
    }

    static void restart(SoakSite site, SoakDaemon daemon, boolean releases) {
        try {
            daemon.signal("TERM");
            daemon.awaitEnd();
            daemon.start();
        } catch (IOException | InterruptedException e) {
            site.record().add("cannot restart " + daemon.name() + ": " + e);
        } finally {
            if (releases) {
                daemon.release();
            }
        }
    }

    static void startBusyLoop(long endNanos) {
        String cpus = System.getenv("CPUS");
        long seconds = Math.max(1, (endNanos - System.nanoTime()) / 1_000_000_000L);
        String loop = "timeout " + seconds + " sh -c 'while :; do :; done'";
        try {
            new ProcessBuilder("sh", "-c", (cpus == null ? "" : "taskset -c " + cpus + " ") + loop)
                    .start();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Restarts all daemons gracefully, one second apart; the given one is held by the caller. */
    static void roll(SoakSite site, SoakDaemon daemon) {
        for (SoakDaemon next : site.daemons()) {
            if (next == daemon || next.hold()) {
                SoakRecord.spawn(() -> restart(site, next, next != daemon));
                SoakRecord.sleep(1_000);
            }
        }
        SoakRecord.sleep(4_000);
    }

    /** Carries a share of the commits out late, for a time. */
    static void delayCommits(SoakSite site, double share, long millis) {
        site.record().add("commits are late, " + share);
        site.store().mLateShare = share;
        SoakRecord.sleep(millis);
        site.store().mLateShare = 0;
        site.record().add("commits in time");
    }

    /** Sends the queue of a pool to the next one, for a time, while its owner is out of action. */
    static void moveQueueOf(SoakSite site, String pool, Random random) {
        SoakRecord.sleep(100 + random.nextInt(1_800));
        site.moveQueue(pool);
        SoakRecord.sleep(2_000 + random.nextInt(5_000));
    }
}
