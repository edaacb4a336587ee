import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One submission of many small work units, or the same work units in small submissions. Small
 * submissions to another service follow.
 */
final class LargeSubmission implements Minion.Work {
    private static final int UNITS = 8_000;
    private static final int UNITS_OF_A_SMALL_ONE = 20;
    private static final int CPU = 100;
    private static final long BYSTANDERS_AFTER_MILLIS = 10_000;
    private static final int BYSTANDERS = 10;
    private static final long FINISH_MILLIS = 14_000;
    private static final long END_MILLIS = 75_000;

    public static void main(String[] args) throws Exception {
        new LargeSubmission().run(new Rig(Path.of(args[0])));
    }

    @Override
    public int cpu(String task) {
        return CPU;
    }

    @Override
    public long durationMillis(String task, int run, Minion minion) {
        return 400 + Math.abs(task.hashCode() % 400);
    }

    @Override
    public String how(String task, int run, Minion minion) {
        return "done";
    }

    private static ObjectNode job(String spec, int count) {
        return Rig.job(spec, Http.object().put("count", count).put("cpu", CPU).put("mem_mb", 10)
                .put("estimate_ms", 600));
    }

    private void run(Rig rig) throws Exception {
        rig.addMinions("arabi-charts", 6, 32_000, "a", this);
        rig.addMinions("konkan-ice", 6, 32_000, "a", this);
        rig.start(
                3,
                List.of(
                        new Rig.Route("quick-lead", "arabi-charts", 0, 2),
                        new Rig.Route("passage-chart", "konkan-ice", 1, 4)));
        long start = Rig.nowMillis();
        List<String> large = new ArrayList<>();
        int count = Rig.hasTrouble() ? UNITS : UNITS_OF_A_SMALL_ONE;
        for (int units = 0; units < UNITS; units += count) {
            String id = rig.newId();
            Rig.unless(rig.submit("quick-lead", id, job("large", count), rig.mDaemons), "refused");
            large.add(id);
        }
        Http.sleep(start + BYSTANDERS_AFTER_MILLIS - Rig.nowMillis());
        List<String> bystanders = new ArrayList<>();
        for (int i = 0; i < BYSTANDERS; i++) {
            String id = rig.newId();
            if (rig.submit("passage-chart", id, job("small", 2), rig.mDaemons)) {
                bystanders.add(id);
            }
            Http.sleep(500);
        }
        Http.sleep(FINISH_MILLIS);
        long lateBystanders = bystanders.stream().filter(id -> Rig.starts(id) < 2).count();
        while (Rig.nowMillis() - start < END_MILLIS
                && !areCompleted(rig, "quick-lead", large.subList(0, 1))) {
            Http.sleep(1_000);
        }
        boolean isLargeDone = areCompleted(rig, "quick-lead", large);
        int used = rig.mMinions.stream().mapToInt(Minion::usedCpu).sum();
        int starts = large.stream().mapToInt(Rig::starts).sum();
        rig.finish(
                !isLargeDone || lateBystanders > 0,
                "LOST: large submission completed " + isLargeDone + " with " + starts + " starts of "
                        + UNITS + " after " + (Rig.nowMillis() - start) / 1_000
                        + " s, cpu in use now " + used + "; of " + bystanders.size()
                        + " accepted submissions to another service " + lateBystanders
                        + " had not started within 14 s");
    }

    private static boolean areCompleted(Rig rig, String queue, List<String> ids) {
        for (String id : ids) {
            boolean isCompleted = false;
            for (Daemon daemon : rig.mDaemons) {
                Http.Reply reply = rig.get(queue, id, daemon);
                if (reply.status() == 200) {
                    isCompleted = reply.body().path("state").asText().equals("completed");
                    break;
                }
            }
            if (!isCompleted) {
                return false;
            }
        }
        return true;
    }
}
