import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The daemon that owns a pool loses power; a submission for the pool is accepted at another daemon,
 * and then a manifest sends the queue to another service.
 */
final class MovedQueue implements Minion.Work {
    private static final long DARK_MILLIS = 3_500;
    private static final long SUBMIT_AFTER_MILLIS = 300;
    private static final long MANIFEST_AFTER_MILLIS = 1_500;
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        new MovedQueue().run(new Rig(Path.of(args[0])));
    }

    @Override
    public int cpu(String task) {
        return 1_800;
    }

    @Override
    public long durationMillis(String task, int run, Minion minion) {
        return 640;
    }

    @Override
    public String how(String task, int run, Minion minion) {
        return "done";
    }

    private static ObjectNode job(String spec) {
        return Rig.job(spec, Http.object().put("count", 2).put("cpu", 1_800).put("mem_mb", 500)
                .put("estimate_ms", 640));
    }

    private void run(Rig rig) throws Exception {
        rig.addMinions("arabi-charts", 6, 32_000, "a", this);
        rig.addMinions("konkan-ice", 6, 32_000, "a", this);
        Rig.Route other = new Rig.Route("passage-chart", "konkan-ice", 1, 4);
        rig.start(3, List.of(new Rig.Route("quick-lead", "arabi-charts", 0, 2), other));
        String first = rig.newId();
        Rig.unless(rig.submit("passage-chart", first, job("first"), rig.mDaemons), "no first work");

        Daemon owner = rig.ownerOf("arabi-charts");
        Rig.unless(owner != null, "the pool has no owner");
        List<Daemon> others = new ArrayList<>(rig.mDaemons);
        others.remove(owner);
        if (Rig.hasTrouble()) {
            owner.signal("KILL");
            Http.spawn(
                    () -> {
                        try {
                            Http.sleep(DARK_MILLIS);
                            owner.awaitEnd();
                            owner.start();
                        } catch (Exception e) {
                            Rig.unusable("cannot restart " + owner.mName + ": " + e);
                        }
                    });
        }
        long killed = Rig.nowMillis();
        Http.sleep(SUBMIT_AFTER_MILLIS);
        String id = rig.newId();
        Rig.unless(rig.submit("quick-lead", id, job("lead"), others), "not accepted");
        Http.sleep(killed + MANIFEST_AFTER_MILLIS - Rig.nowMillis());
        rig.writeManifest(List.of(new Rig.Route("quick-lead", "konkan-ice", 0, 2), other));

        // The killed daemon is back after 3.5 s; recovery_s passes, then finish_s.
        Http.sleep(DARK_MILLIS + 12_000);
        rig.awaitReady(owner);
        String later = rig.newId();
        Rig.unless(rig.submit("quick-lead", later, job("later"), others), "not accepted later");
        Http.sleep(FINISH_MILLIS);
        boolean isLaterDone = isCompleted(rig, later);
        boolean isDone = isCompleted(rig, id);
        Rig.unless(isLaterDone, "the submission after the change was not completed");
        rig.finish(
                !isDone && Rig.starts(id) == 0,
                "LOST: the accepted submission " + id + " has had " + Rig.starts(id)
                        + " starts in " + (Rig.nowMillis() - killed) / 1_000 + " s");
    }

    private static boolean isCompleted(Rig rig, String id) {
        return rig.mDaemons.stream()
                .map(daemon -> rig.get("quick-lead", id, daemon))
                .anyMatch(reply -> reply.body().path("state").asText().equals("completed"));
    }
}
