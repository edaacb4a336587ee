import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Two minions, the only ones of a kind, fail all that they start for some seconds. Lasting work units
 * that need the kind are kept off both after they are sound again.
 */
final class QuarantinedMinions implements Minion.Work {
    private static final long GREY_MILLIS = 6_500;
    private static final int FAST_UNITS = 8;
    private static final long FAST_MILLIS = 150;
    private static final long SLOW_MILLIS = 3_000;
    private static final long SUBMIT_AFTER_MILLIS = 5_000;

    /** A lasting work unit may be away for 6 s after its last run; 3 s more break the rule. */
    private static final long AWAY_MILLIS = 6_000;

    private static final long CALM_MILLIS = 4_000;
    private static final long BREACH_MILLIS = 3_000;

    private volatile boolean mIsGrey;
    private volatile String mSlow = "-";

    public static void main(String[] args) throws Exception {
        new QuarantinedMinions().run(new Rig(Path.of(args[0])));
    }

    @Override
    public int cpu(String task) {
        return 2_700;
    }

    @Override
    public long durationMillis(String task, int run, Minion minion) {
        boolean fails = mIsGrey && minion.mLabel.equals("b");
        return fails ? task.startsWith(mSlow) ? SLOW_MILLIS : FAST_MILLIS : -1;
    }

    @Override
    public String how(String task, int run, Minion minion) {
        return "failed";
    }

    private static ObjectNode lasting(int count) {
        return Http.object().put("count", count).put("cpu", 2_700).put("mem_mb", 4_800)
                .put("requirements", "b").put("long_running", true);
    }

    private void run(Rig rig) throws Exception {
        rig.addMinions("arabi-charts", 2, 32_000, "b", this);
        rig.addMinions("arabi-charts", 22, 32_000, "a", this);
        rig.start(3, List.of(new Rig.Route("drift-watch", "arabi-charts", 0, 2)));

        mIsGrey = Rig.hasTrouble();
        Rig.note("case: grey " + mIsGrey);
        long start = Rig.nowMillis();
        Http.sleep(SUBMIT_AFTER_MILLIS);
        String fast = rig.newId();
        mSlow = rig.newId();
        ObjectNode apart = lasting(2).put("anti_affinity", 1);
        Rig.unless(
                rig.submit("drift-watch", mSlow, Rig.job("slow", apart), rig.mDaemons)
                        && rig.submit("drift-watch", fast, Rig.job("fast", lasting(FAST_UNITS)), rig.mDaemons),
                "not accepted");
        Http.sleep(start + GREY_MILLIS - Rig.nowMillis());
        mIsGrey = false;
        long calm = Rig.nowMillis() + CALM_MILLIS;
        Rig.note("case: all minions are sound");
        Http.sleep(25_000);

        Map<String, Long> broken = new TreeMap<>();
        for (int i = 0; i < FAST_UNITS; i++) {
            String task = fast + ".0.0." + i;
            for (long[] away : Rig.absences(task)) {
                if (away[1] >= Math.max(away[0] + AWAY_MILLIS, calm) + BREACH_MILLIS) {
                    broken.put(task, away[1] - away[0]);
                }
            }
        }
        rig.finish(
                !broken.isEmpty(),
                "LOST: lasting work units without a run for these ms: " + broken);
    }
}
