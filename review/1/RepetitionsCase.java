package review.repetitions;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import review.rig.Daemon;
import review.rig.Jobs;
import review.rig.Rig;

/** Twelve scheduled submissions come within four seconds; each runs hourly for a year. */
public final class RepetitionsCase {
    private static final List<String> SERVICES = List.of("alpha");
    private static final String FIRST = "00000000000000a1";
    private static final int SUBMISSIONS = 12;
    private static final int UNITS = 8;
    private static final int HOURS_OF_A_YEAR = 8_760;

    /** The number of repetitions of the site's own scheduled submissions. */
    private static final int USUAL_REPETITIONS = 8;

    private static final int TRIES = 4;

    /** Tries to read a state, each at every daemon; a client waits 3 s for an answer. */
    private static final int LAST_TRIES = 3;

    public static void main(String[] args) throws Exception {
        Rig.main(args, RepetitionsCase::run);
    }

    private static boolean run(Rig rig, boolean isTrouble) throws Exception {
        rig.putManifest(1, List.of(new Rig.Route("q-alpha", "/alpha/", "alpha")), SERVICES, true);
        List<Daemon> daemons = rig.startDaemons(2);
        for (int i = 1; i <= 4; i++) {
            rig.cloud().add("m-" + i, "alpha", "r" + i, 32_000, true);
        }
        rig.awaitSteadyOwners(SERVICES);
        Jobs.Job first = rig.jobs().add(FIRST, new Jobs.Step().count(UNITS).work(500));
        rig.submit(daemons.get(0), "/alpha/" + FIRST, first);
        rig.await(
                "the first submission is completed",
                15_000,
                () -> daemons.get(0).poll("/alpha/" + FIRST).body().contains("completed"));
        daemons.get(0).send("GET", "/alpha/" + FIRST, null);

        List<String> accepted = new ArrayList<>(List.of(FIRST));
        int repetitions = isTrouble ? HOURS_OF_A_YEAR : USUAL_REPETITIONS;
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format("00000000000000c%x", i);
            if (!handIn(rig, daemons, i, id, repetitions)) {
                break;
            }
            accepted.add(id);
        }
        rig.record(accepted.size() - 1 + " scheduled submissions were accepted");
        // finish_s is 14 s.
        Rig.sleep(14_000);
        List<String> unanswered = new ArrayList<>();
        for (String id : List.of(FIRST, accepted.get(accepted.size() - 1))) {
            if (!isAnswered(daemons, id)) {
                unanswered.add(id);
            }
        }
        daemons.forEach(it -> rig.record(it.name() + " reports ready: " + it.isReady()));
        if (!unanswered.isEmpty()) {
            rig.breach("LOST", "no answer for accepted submissions " + unanswered);
        }
        return unanswered.isEmpty();
    }

    private static boolean handIn(
            Rig rig, List<Daemon> daemons, int number, String id, int repetitions) {
        ObjectNode body = rig.jobs().add(id, new Jobs.Step().count(UNITS).work(500)).body();
        body.put("repetitions", repetitions);
        body.put("first_ms", System.currentTimeMillis() + TimeUnit.HOURS.toMillis(1));
        body.put("interval_ms", TimeUnit.HOURS.toMillis(1));
        Rig.sleep(200);
        for (int i = 0; i < TRIES; i++) {
            Daemon daemon = daemons.get((number + i) % daemons.size());
            int status = daemon.send("POST", "/alpha/" + id, body.toString()).status();
            if (status == 200) {
                return true;
            }
        }
        return false;
    }

    private static boolean isAnswered(List<Daemon> daemons, String id) {
        for (int i = 0; i < LAST_TRIES; i++) {
            for (Daemon daemon : daemons) {
                if (daemon.send("GET", "/alpha/" + id, null).status() == 200) {
                    return true;
                }
            }
        }
        return false;
    }
}
