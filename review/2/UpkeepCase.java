package review.upkeep;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import review.rig.Daemon;
import review.rig.Http;
import review.rig.Jobs;
import review.rig.Minion;
import review.rig.Rig;

/** The answers to two upkeep orders are lost; the orders have been carried out. */
public final class UpkeepCase {
    private static final List<String> SERVICES = List.of("alpha");
    private static final String FIRST = "00000000000000a1";
    private static final String SECOND = "00000000000000b1";
    private static final int MACHINES = 4;
    private static final long LOSS_NANOS = 1_000_000_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, UpkeepCase::run);
    }

    private static boolean run(Rig rig, boolean isTrouble) throws Exception {
        rig.putManifest(1, List.of(new Rig.Route("q-alpha", "/alpha/", "alpha")), SERVICES, true);
        List<Daemon> daemons = rig.startDaemons(2);
        for (int i = 1; i <= MACHINES; i++) {
            rig.cloud().add("m-" + i, "alpha", "r" + i, 32_000, true);
        }
        rig.awaitSteadyOwners(SERVICES);
        Jobs.Job first = rig.jobs().add(FIRST, new Jobs.Step().count(MACHINES).work(500).apart(1));
        rig.submit(daemons.get(0), "/alpha/" + FIRST, first);
        rig.await(
                "the first submission is completed",
                15_000,
                () -> daemons.get(0).poll("/alpha/" + FIRST).body().contains("completed"));
        rig.record("the first submission is completed; each of the four minions has run a part");
        Rig.sleep(1_000);

        if (isTrouble) {
            loseAnswers(rig);
        }
        var wave = Http.object().put("wave", 1);
        wave.putArray("machines").add("m-1").add("m-2");
        wave.put("duration_s", 8).put("max_count", 2);
        rig.store().put("op/wave/1", wave);
        rig.record("the operator requests " + wave);
        Rig.sleep(15_000);
        rig.record("status/wave/1 is " + rig.store().get("status/wave/1"));

        Jobs.Job second =
                rig.jobs().add(SECOND, new Jobs.Step().count(MACHINES).cpu(3_000).lasts().apart(1));
        rig.submit(daemons.get(1), "/alpha/" + SECOND, second);
        boolean hasHeld =
                rig.holdsWithin(20_000, () -> rig.runningOf(SECOND).size() == MACHINES);
        for (Minion minion : rig.minions()) {
            rig.record(
                    "minion " + minion.id() + " runs " + minion.running() + " and uses "
                            + minion.usedCpu() + " of " + minion.cpu());
        }
        if (!hasHeld) {
            rig.breach(
                    "LOST",
                    "for 20 s only " + rig.runningOf(SECOND).size() + " of " + MACHINES
                            + " work units that last have run, and two minions are empty");
        }
        return hasHeld;
    }

    /** Loses the answers to upkeep orders for a second from the first one; all are carried out. */
    private static void loseAnswers(Rig rig) {
        AtomicLong first = new AtomicLong();
        rig.cloud()
                .loseAnswers(
                        request -> {
                            if (!request.path().equals("/api/machine-upkeep")) {
                                return false;
                            }
                            first.compareAndSet(0, System.nanoTime());
                            return System.nanoTime() - first.get() < LOSS_NANOS;
                        });
    }
}
