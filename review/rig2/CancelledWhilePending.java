import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Lasting submissions are handed in while the store is down. Their clients get no confirmation, cancel
 * them and are told that no such submission exists.
 */
final class CancelledWhilePending implements Minion.Work {
    private static final int CLIENTS = 12;
    private static final long CLIENT_GAP_MILLIS = 110;
    private static final long DOWN_MILLIS = 4_500;
    private static final long FIRST_POST_MILLIS = 300;
    private static final long RETRY_MILLIS = 200;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 200;
    private static final long WATCH_MILLIS = 15_000;

    /** Time of the confirmation of the cancelling, by submission. */
    private final Map<String, Long> mCancelled = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        new CancelledWhilePending().run(new Rig(Path.of(args[0])));
    }

    @Override
    public int cpu(String task) {
        return 2_700;
    }

    @Override
    public long durationMillis(String task, int run, Minion minion) {
        return -1;
    }

    @Override
    public String how(String task, int run, Minion minion) {
        return "done";
    }

    private void run(Rig rig) throws Exception {
        rig.addMinions("arabi-charts", 6, 32_000, "a", this);
        rig.start(3, List.of(new Rig.Route("drift-watch", "arabi-charts", 0, 2)));
        long start = Rig.nowMillis();
        rig.mStore.setDown(Rig.hasTrouble());
        Http.sleep(FIRST_POST_MILLIS);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            List<Daemon> at = new ArrayList<>(rig.mDaemons);
            Collections.rotate(at, i);
            Thread client = new Thread(() -> handInAndCancel(rig, at));
            client.start();
            clients.add(client);
            Http.sleep(CLIENT_GAP_MILLIS);
        }
        Http.sleep(start + DOWN_MILLIS - Rig.nowMillis());
        rig.mStore.setDown(false);
        for (Thread client : clients) {
            client.join();
        }
        Http.sleep(WATCH_MILLIS);
        Map<String, Long> running = new TreeMap<>();
        for (Map.Entry<String, Long> cancelled : mCancelled.entrySet()) {
            long late = Rig.nowMillis() - cancelled.getValue() - CANCEL_MILLIS - STOP_MILLIS;
            boolean runs =
                    rig.mMinions.stream()
                            .anyMatch(minion -> minion.runs(cancelled.getKey() + ".0.0.0"));
            if (runs && late > 0) {
                running.put(cancelled.getKey(), late);
            }
        }
        rig.finish(
                !running.isEmpty(),
                "UNASKED: of " + mCancelled.size() + " submissions whose cancelling was confirmed "
                        + running.size() + " still run, ms past the bound: " + running);
    }

    private void handInAndCancel(Rig rig, List<Daemon> at) {
        String id = rig.newId();
        ObjectNode step =
                Http.object().put("count", 1).put("cpu", 2_700).put("mem_mb", 4_800)
                        .put("long_running", true);
        Http.Reply reply = send(rig, "POST", id, at.get(0), Rig.job("watch", step));
        for (int i = 1; i < 40; i++) {
            reply = send(rig, "DELETE", id, at.get(i % at.size()), null);
            if (reply.isSuccess() || reply.status() == 410) {
                mCancelled.put(id, Rig.nowMillis());
                return;
            }
            Http.sleep(RETRY_MILLIS);
        }
        Rig.unusable("a cancelling was not answered");
    }

    private static Http.Reply send(
            Rig rig, String method, String id, Daemon daemon, ObjectNode body) {
        Http.Reply reply =
                Http.call(
                        daemon.mFront,
                        method,
                        Rig.prefix("drift-watch") + id,
                        Rig.ROUTE_HOST,
                        body,
                        Rig.CLIENT_TIMEOUT_MILLIS);
        Rig.note("client: " + method + " " + id + " at " + daemon.mName + ": " + reply.status()
                + " " + reply.body());
        return reply;
    }
}
