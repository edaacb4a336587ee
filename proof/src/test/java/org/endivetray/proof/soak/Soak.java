package org.endivetray.proof.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A seeded soak of daemons as real processes: load from the first second, a start-up in which
 * owners are shared out, and overlapping faults of the given kinds.
 *
 * <p>Invariants: the jobs and faults that are drawn depend on the seed alone; what follows from
 * them depends on the time that the processes take and on the delays of messages.
 *
 * <p>This class is not thread-safe.
 */
final class Soak {
    private static final int DEFAULT_DAEMONS = 4;
    private static final int CLIENTS = 12;
    private static final int MAX_START_GAP_MILLIS = 2_500;
    private static final int TRIES = 5;
    private static final int CANCEL_TRIES = 20;
    private static final int NAMED_BREACHES = 5;
    private static final long START_MILLIS = 90_000;
    private static final long FINISH_MILLIS = 20_000;

    /** Share of the jobs whose clients cancel them without awaiting the answer, one in so many. */
    private static final int CANCELLED_EARLY_ONE_IN = 12;

    /** Time for which a pool may be idle while a job of its queue is open, in milliseconds. */
    private static final long IDLE_MILLIS = 6_000;

    private final SoakSite mSite;
    private final long mSeed;
    private final String mKinds;
    private final long mSeconds;
    private final int mGapMillis;
    private volatile boolean mIsLoadOver;
    private final Map<String, SoakJob> mAccepted = new ConcurrentHashMap<>();
    private final Set<String> mCancelled = ConcurrentHashMap.newKeySet();

    /**
     * Constructs a soak that has not been started.
     *
     * @param root the checkout whose built daemon is run, not null
     * @param folder for the record, the settings and the logs, not null
     * @param seed for all draws
     * @param kinds letters of the faults, see {@link SoakFault}, not null
     * @param seconds length of the time in which faults begin, in seconds
     * @param gapMillis mean time between the beginnings of two faults, in milliseconds
     * @param daemons number of daemons
     */
    Soak(Path root, Path folder, long seed, String kinds, long seconds, int gapMillis, int daemons)
            throws IOException {
        mSite = new SoakSite(root, folder, daemons, SoakFault.useAccounts(kinds));
        mSeed = seed;
        mKinds = kinds;
        mSeconds = seconds;
        mGapMillis = gapMillis;
    }

    /**
     * Runs a soak and exits with 0 if no rule was broken, with 1 otherwise. The arguments are the
     * checkout, the folder for the record, the seed, the kinds, the seconds, the gap and, if it is
     * not four, the number of daemons.
     */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createDirectories(Path.of(args[1]));
        long seed = Long.parseLong(args[2]);
        long seconds = Long.parseLong(args[4]);
        int gapMillis = Integer.parseInt(args[5]);
        int daemons = args.length > 6 ? Integer.parseInt(args[6]) : DEFAULT_DAEMONS;
        Soak soak = new Soak(Path.of(args[0]), folder, seed, args[3], seconds, gapMillis, daemons);
        Runtime.getRuntime().addShutdownHook(new Thread(soak.mSite::close));
        List<String> breaches = soak.run();
        System.out.printf(
                "soak: seed=%d kinds=%s starts=%d accepted=%d breaches=%d record=%s%n",
                seed,
                args[3],
                soak.mSite.rules().starts(),
                soak.mAccepted.size(),
                breaches.size(),
                folder.resolve("record"));
        breaches.stream().limit(NAMED_BREACHES).forEach(System.out::println);
        Runtime.getRuntime().exit(breaches.isEmpty() ? 0 : 1);
    }

    /** Runs the soak and returns the breaches of rules. */
    List<String> run() throws IOException {
        try (mSite) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 1; i <= CLIENTS; i++) {
                int client = i;
                threads.add(SoakRecord.spawn(() -> submit(client)));
            }
            Random random = new Random(mSeed);
            for (SoakDaemon daemon : mSite.daemons()) {
                daemon.hold();
                daemon.start();
                daemon.release();
                SoakRecord.sleep(random.nextInt(MAX_START_GAP_MILLIS));
            }
            awaitOwners();
            causeFaults(System.nanoTime() + mSeconds * 1_000_000_000L);
            mIsLoadOver = true;
            for (Thread thread : threads) {
                thread.join();
            }
            awaitEnds();
            return mSite.rules().breaches();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private SoakDaemon startedDaemon(Random random) {
        List<SoakDaemon> started = mSite.daemons().stream().filter(SoakDaemon::isStarted).toList();
        return started.isEmpty() ? null : started.get(random.nextInt(started.size()));
    }

    /** Waits until each pool has an owner; the load goes on meanwhile. */
    private void awaitOwners() {
        long end = System.nanoTime() + START_MILLIS * 1_000_000L;
        while (SoakSite.POOLS.stream().anyMatch(pool -> mSite.store().owner(pool).isEmpty())) {
            if (System.nanoTime() - end >= 0) {
                throw new IllegalStateException("a pool has no owner after the start");
            }
            SoakRecord.sleep(50);
        }
        mSite.record().add("all pools have owners");
    }

    private void submit(int client) {
        Random random = new Random(mSeed * 31 + client);
        for (int i = 0; !mIsLoadOver; i++) {
            String id = String.format("%08x%04x%04x", mSeed & 0xffffffffL, client, i);
            String pool = SoakSite.POOLS.get(random.nextInt(SoakSite.POOLS.size()));
            SoakJob job = SoakJob.random(random, id, pool);
            mSite.rules().addJob(job);
            if (random.nextInt(CANCELLED_EARLY_ONE_IN) == 0) {
                SoakRecord.spawn(() -> submitAndCancel(job, new Random(random.nextLong())));
            } else {
                submit(job, random);
            }
            if (mAccepted.containsKey(id) && (job.isLongRunning() || random.nextInt(20) == 0)) {
                SoakRecord.spawn(() -> cancelLater(job, new Random(random.nextLong())));
            }
            SoakRecord.sleep(200 + random.nextInt(700));
        }
    }

    private void submit(SoakJob job, Random random) {
        String body = job.body().toString();
        for (int i = 0; i < TRIES && !mAccepted.containsKey(job.id()); i++) {
            SoakDaemon daemon = startedDaemon(random);
            String key = mSite.accounts().anyKey(job.id(), random);
            String process = daemon == null ? "" : daemon.process();
            long sentMillis = System.currentTimeMillis();
            SoakDaemon.Answer answer =
                    daemon == null
                            ? new SoakDaemon.Answer(0, "")
                            : daemon.send("POST", job.path(), key, body);
            mSite.accounts().judge(mSite.rules(), key, process, sentMillis, answer.status());
            mSite.record().add("POST " + job.path() + " -> " + answer.status());
            if (answer.isAccepted()) {
                mAccepted.put(job.id(), job);
            } else {
                SoakRecord.sleep(200);
            }
        }
        if (mAccepted.containsKey(job.id()) && random.nextInt(15) == 0) {
            startedDaemon(random).send("POST", job.path(), key(job), body);
        }
    }

    private String key(SoakJob job) {
        return mSite.accounts().validKey(job.id());
    }

    /** Submits a job once and cancels it, often before the submission is answered. */
    private void submitAndCancel(SoakJob job, Random random) {
        mCancelled.add(job.id());
        SoakDaemon daemon = startedDaemon(random);
        if (daemon == null) {
            return;
        }
        SoakRecord.spawn(
                () -> {
                    String body = job.body().toString();
                    int status = daemon.send("POST", job.path(), key(job), body).status();
                    mSite.record().add("POST " + job.path() + " -> " + status);
                });
        SoakRecord.sleep(random.nextInt(random.nextBoolean() ? 60 : 1_500));
        cancel(job, random);
    }

    private void cancelLater(SoakJob job, Random random) {
        SoakRecord.sleep(random.nextInt(4_000));
        mCancelled.add(job.id());
        cancel(job, random);
    }

    /** Cancels a job, again and again until the answer is certain. */
    private void cancel(SoakJob job, Random random) {
        for (int i = 0; i < CANCEL_TRIES; i++) {
            SoakDaemon.Answer answer =
                    startedDaemon(random).send("DELETE", job.path(), key(job), null);
            mSite.record().add("DELETE " + job.path() + " -> " + answer.status());
            if (answer.isAccepted() || answer.status() == 410) {
                mSite.rules().onCancelled(job.id());
                return;
            }
            SoakRecord.sleep(300);
        }
    }

    private void causeFaults(long endNanos) {
        Random random = new Random(mSeed * 17);
        List<Thread> faults = new ArrayList<>();
        while (!mKinds.isEmpty() && System.nanoTime() - endNanos < 0) {
            SoakRecord.sleep(mGapMillis / 4 + random.nextInt(mGapMillis * 3 / 2));
            SoakFault fault = SoakFault.of(mKinds.charAt(random.nextInt(mKinds.length())));
            Random draws = new Random(random.nextLong());
            SoakDaemon daemon = SoakFault.choose(mSite, random);
            if (daemon.isAlive() && daemon.hold()) {
                faults.add(SoakRecord.spawn(() -> cause(fault, daemon, draws)));
            }
        }
        for (Thread thread : faults) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void cause(SoakFault fault, SoakDaemon daemon, Random random) {
        try {
            mSite.record().add("fault " + fault + " at " + daemon.name());
            fault.run(mSite, daemon, random);
        } catch (Exception e) {
            mSite.record().add("fault " + fault + " failed: " + e);
        } finally {
            daemon.release();
        }
    }

    /**
     * Waits until all accepted jobs have ended; those that have not are named in the record. The
     * load may have left more work than is done by then, so a job counts as lost only if the pools
     * that may have accepted it are idle.
     */
    private void awaitEnds() {
        mSite.accounts().raiseCaps(mSite);
        long start = System.nanoTime();
        List<SoakJob> open = new ArrayList<>(mAccepted.values());
        open.removeIf(job -> mCancelled.contains(job.id()) || job.isLongRunning());
        Random random = new Random(mSeed);
        Map<String, Long> busyNanos = new HashMap<>();
        while (!open.isEmpty() && System.nanoTime() - start < FINISH_MILLIS * 1_000_000L) {
            open.removeIf(job -> hasEnded(job, random));
            for (String pool : SoakSite.POOLS) {
                if (!mSite.rules().isIdle(pool)) {
                    busyNanos.put(pool, System.nanoTime());
                }
            }
            SoakRecord.sleep(500);
        }
        mSite.rules().checkCancelled();
        long idleSince = System.nanoTime() - IDLE_MILLIS * 1_000_000L;
        for (SoakJob job : open) {
            mSite.record().add("not ended: " + job);
            boolean isIdle =
                    List.of(job.pool(), SoakSite.otherPool(job.pool())).stream()
                            .allMatch(pool -> busyNanos.getOrDefault(pool, start) - idleSince < 0);
            if (isIdle) {
                mSite.rules().breach("LOST", job.path() + " is open and its pools are idle");
            }
        }
    }

    private boolean hasEnded(SoakJob job, Random random) {
        SoakDaemon.Answer answer = startedDaemon(random).send("GET", job.path(), key(job), null);
        if (answer.status() == 410) {
            mSite.rules().breach("LOST", job.path() + " is not known");
            return true;
        }
        return answer.isAccepted() && answer.body().matches("(?s).*\"(completed|failed)\".*");
    }
}
