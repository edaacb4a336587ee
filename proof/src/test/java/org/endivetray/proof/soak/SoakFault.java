package org.endivetray.proof.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of a soak. Each has a letter, by which a run names the kinds that it draws from.
 *
 * <p>This class is immutable and thread-safe; faults overlap.
 */
enum SoakFault {
    /** Stops and continues a daemon, for up to 7.3 s. */
    PAUSE('p') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            daemon.signal("STOP");
            SoakRecord.sleep(300 + random.nextInt(7_000));
            daemon.signal("CONT");
        }
    },
    /** Stops and continues a daemon in a series of short pauses. */
    STUTTER('q') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            for (int i = 0; i < 10; i++) {
                daemon.signal("STOP");
                SoakRecord.sleep(50 + random.nextInt(750));
                daemon.signal("CONT");
                SoakRecord.sleep(10 + random.nextInt(300));
            }
        }
    },
    /** Kills a daemon and starts it again. */
    KILL('k') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            daemon.signal("KILL");
            daemon.awaitEnd();
            SoakRecord.sleep(random.nextInt(4_000));
            daemon.start();
            SoakRecord.sleep(3_000);
        }
    },
    /** Stops a daemon gracefully and starts it again. */
    STOP('t') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            daemon.signal("TERM");
            daemon.awaitEnd();
            daemon.start();
            SoakRecord.sleep(3_000);
        }
    },
    /** Restarts all daemons gracefully, one second apart. */
    ROLL('T') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            FaultSteps.roll(site, daemon);
        }
    },
    /** Restarts all daemons in turn while some commits are carried out late, without an answer. */
    ROLL_LATE('A') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            double share = 0.1 + 0.25 * random.nextDouble();
            SoakRecord.spawn(() -> FaultSteps.delayCommits(site, share, 4_500));
            FaultSteps.roll(site, daemon);
        }
    },
    /** Carries some commits out late, without an answer. */
    LATE_COMMITS('a') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            double share = 0.1 + 0.4 * random.nextDouble();
            FaultSteps.delayCommits(site, share, 1_000 + random.nextInt(5_000));
        }
    },
    /** Kills a daemon, and sends a queue of its pools elsewhere before it starts again. */
    KILL_AND_MOVE('V') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            String pool = site.poolOf(daemon, random);
            daemon.signal("KILL");
            daemon.awaitEnd();
            FaultSteps.moveQueueOf(site, pool, random);
            daemon.start();
            SoakRecord.sleep(3_000);
            site.returnQueue(pool);
        }
    },
    /** Pauses a daemon, and sends a queue of its pools elsewhere before it continues. */
    PAUSE_AND_MOVE('U') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            String pool = site.poolOf(daemon, random);
            daemon.signal("STOP");
            FaultSteps.moveQueueOf(site, pool, random);
            daemon.signal("CONT");
            SoakRecord.sleep(3_000);
            site.returnQueue(pool);
        }
    },
    /** Cuts a daemon off from the store and its peers; it still reaches all minions. */
    ISOLATED('i') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("cut " + daemon.name() + " from the store and its peers");
            daemon.entrance().mIsSilent = true;
            daemon.moveToSide(daemon.number());
            SoakRecord.sleep(1_000 + random.nextInt(9_000));
            daemon.entrance().mIsSilent = false;
            daemon.moveToSide(0);
            site.record().add("back " + daemon.name());
        }
    },
    /** Cuts a daemon off together with some minions. */
    PARTITION('z') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            FaultSteps.part(site, List.of(daemon), random);
        }
    },
    /** Cuts two daemons off together with some minions. */
    ZONE('Z') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            List<SoakDaemon> inside = new ArrayList<>(List.of(daemon));
            site.daemons().stream()
                    .filter(other -> other != daemon && other.hold())
                    .findAny()
                    .ifPresent(inside::add);
            FaultSteps.part(site, inside, random);
            inside.stream().filter(other -> other != daemon).forEach(SoakDaemon::release);
        }
    },
    /** Cuts a daemon off from the store only. */
    STORE_CUT('s') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("cut " + daemon.name() + " from the store");
            daemon.entrance().mIsSilent = true;
            SoakRecord.sleep(500 + random.nextInt(7_000));
            daemon.entrance().mIsSilent = false;
        }
    },
    /**
     * Lets the store refuse a daemon whose lease has just ended, and maybe cuts it off from its
     * peers.
     */
    REFUSED('r') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("the store refuses " + daemon.name() + ", its lease ends");
            daemon.moveToSide(random.nextBoolean() ? daemon.number() : 0);
            daemon.entrance().mRefuses = true;
            site.store().revoke(daemon.name());
            SoakRecord.sleep(500 + random.nextInt(7_000));
            daemon.entrance().mRefuses = false;
            daemon.moveToSide(0);
        }
    },
    /** Ends the lease of a daemon that extends it in time. */
    REVOKED('R') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("the lease of " + daemon.name() + " ends");
            site.store().revoke(daemon.name());
        }
    },
    /** Slows the store down for one daemon. */
    SLOW_PATH('y') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            daemon.entrance().mExtraMillis = 300 + random.nextInt(700);
            site.record().add("slow store for " + daemon.name());
            SoakRecord.sleep(2_000 + random.nextInt(6_000));
            daemon.entrance().mExtraMillis = 0;
        }
    },
    /** Slows the store down. */
    SLOW_STORE('d') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.store().mExtraMillis = 100 + random.nextInt(850);
            site.record().add("slow store, " + site.store().mExtraMillis);
            SoakRecord.sleep(1_000 + random.nextInt(7_000));
            site.store().mExtraMillis = 0;
            site.record().add("store as before");
        }
    },
    /** Lets the store carry out calls without an answer. */
    LOSSY_STORE('x') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("the store loses answers");
            site.store().mLostShare = 0.1 + 0.4 * random.nextDouble();
            SoakRecord.sleep(1_000 + random.nextInt(5_000));
            site.store().mLostShare = 0;
            site.record().add("store as before");
        }
    },
    /** Cuts some minions off from everything. */
    MINION_CUT('m') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            List<SoakMinion> cut = site.someMinions(random, 0.3 * random.nextDouble());
            site.record().add("cut minions " + cut);
            cut.forEach(minion -> minion.cut(true));
            SoakRecord.sleep(300 + random.nextInt(5_000));
            cut.forEach(minion -> minion.cut(false));
            site.record().add("back minions " + cut);
        }
    },
    /** Cuts some minions off from one daemon. */
    FAR('f') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            List<SoakMinion> cut = site.someMinions(random, random.nextDouble());
            site.record().add("cut minions from " + daemon.name() + " " + cut);
            cut.forEach(minion -> minion.cutFrom(daemon.name(), true));
            SoakRecord.sleep(300 + random.nextInt(5_000));
            cut.forEach(minion -> minion.cutFrom(daemon.name(), false));
            site.record().add("back minions to " + daemon.name());
        }
    },
    /** Lets some minions carry out orders without an answer. */
    LOST_ANSWERS('l') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("minions lose answers");
            List<SoakMinion> some = site.someMinions(random, 0.5);
            some.forEach(minion -> minion.loseAnswers(0.3));
            SoakRecord.sleep(1_000 + random.nextInt(5_000));
            some.forEach(minion -> minion.loseAnswers(0));
            site.record().add("minions as before");
        }
    },
    /** Removes the entries of some minions that go on. */
    UNLISTED('e') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            List<SoakMinion> some = site.someMinions(random, random.nextDouble());
            site.record().add("unlisted " + some);
            some.forEach(minion -> minion.unlist(true));
            SoakRecord.sleep(300 + random.nextInt(5_000));
            some.forEach(minion -> minion.unlist(false));
            site.record().add("listed again");
        }
    },
    /** Restarts minions under their ids, at the same or at other addresses. */
    MINION_RESTART('c') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception {
            List<SoakMinion> up = site.minions();
            for (int i = 0; i < 3 && !up.isEmpty(); i++) {
                SoakMinion minion = up.get(random.nextInt(up.size()));
                int downMillis = 100 + random.nextInt(900);
                site.workers().restart(minion, downMillis, random.nextBoolean());
            }
        }
    },
    /** Delays messages to and from minions by up to 300 ms in each direction. */
    JITTER('j') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            int earlier = site.mMaxDelayMillis;
            site.mMaxDelayMillis = 50 + random.nextInt(250);
            site.record().add("delays up to " + site.mMaxDelayMillis);
            SoakRecord.sleep(1_000 + random.nextInt(6_000));
            site.mMaxDelayMillis = earlier;
            site.record().add("delays as before");
        }
    },
    /** Requests a wave; from then on orders to machines may get no answer. */
    WAVE('w') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            int number = 1 + (int) (System.nanoTime() / 1_000_000_000L % 1_000_000);
            var wave = LoopbackServer.object().put("wave", number);
            var machines = wave.putArray("machines");
            site.workers().names().stream()
                    .filter(name -> random.nextInt(4) == 0)
                    .forEach(machines::add);
            wave.put("duration_s", 12).put("max_count", 3);
            site.workers().mLostShare = 0.4;
            site.store().put("op/wave/" + number, wave);
            site.record().add("wave " + wave);
        }
    },
    /** Writes a manifest with the same content under a new version. */
    MANIFEST('v') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.writeManifest();
        }
    },
    /** Revokes a key of a client account, for a time; such a soak has client accounts. */
    KEY_REVOKED('K') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            SoakRecord.spawn(() -> site.accounts().revoke(site, random));
        }
    },
    /** Lowers the cap of a client account, for a time; such a soak has client accounts. */
    CAP_LOWERED('Q') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            SoakRecord.spawn(() -> site.accounts().lower(site, random));
        }
    },
    /** Starts busy loops on the cores of the daemons. */
    BUSY('b') {
        @Override
        void run(SoakSite site, SoakDaemon daemon, Random random) {
            site.record().add("busy loops beside the daemons");
            long end = System.nanoTime() + (1_000 + random.nextInt(5_000)) * 1_000_000L;
            for (int i = 0; i < 6; i++) {
                FaultSteps.startBusyLoop(end);
            }
            SoakRecord.sleep((end - System.nanoTime()) / 1_000_000);
        }
    };

    private final char mLetter;

    SoakFault(char letter) {
        mLetter = letter;
    }

    /** Causes the fault and ends it; returns after its end. */
    abstract void run(SoakSite site, SoakDaemon daemon, Random random) throws Exception;

    static SoakFault of(char letter) {
        for (SoakFault fault : values()) {
            if (fault.mLetter == letter) {
                return fault;
            }
        }
        throw new IllegalArgumentException("no fault " + letter);
    }

    /** Returns whether a soak of these kinds has client accounts. */
    static boolean useAccounts(String kinds) {
        return kinds.indexOf(KEY_REVOKED.mLetter) >= 0 || kinds.indexOf(CAP_LOWERED.mLetter) >= 0;
    }

    /** Returns the daemon that a fault hits: the owner of a pool more often than another one. */
    static SoakDaemon choose(SoakSite site, Random random) {
        String pool = SoakSite.POOLS.get(random.nextInt(SoakSite.POOLS.size()));
        String owner = site.store().owner(pool);
        int place = random.nextInt(site.daemons().size());
        boolean isOwner = random.nextInt(3) > 0;
        return site.daemons().stream()
                .filter(daemon -> isOwner && daemon.name().equals(owner))
                .min(Comparator.comparing(SoakDaemon::name))
                .orElse(site.daemons().get(place));
    }
}
