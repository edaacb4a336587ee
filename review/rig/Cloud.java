package review.rig;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The platform's service for machines: it lists and moves them and takes them down for upkeep. */
public final class Cloud {
    private static final long MOVE_MILLIS = 1_500;
    private static final long UPKEEP_MILLIS = 2_000;
    private static final long ANSWER_MILLIS = 4;

    private static final class Machine {
        String mPool;
        String mRack;
        String mState = "up";
        Minion mMinion;
        int mCpu;
        boolean mEnforces;
        long mLastWave;
    }

    private final Rig mRig;
    private final HttpServer mServer;
    private final Map<String, Machine> mMachines = new TreeMap<>();
    private int mNextMinion = 1;

    /** Requests for which this holds are carried out and get no answer. */
    private volatile Predicate<Http.Request> mLost = request -> false;

    public Cloud(Rig rig) throws IOException {
        mRig = rig;
        mServer = Http.serve(0, this::handle);
    }

    public int port() {
        return mServer.getAddress().getPort();
    }

    public void loseAnswers(Predicate<Http.Request> lost) {
        mLost = lost;
    }

    /** Adds a machine and starts a minion on it. */
    public synchronized Minion add(
            String machine, String pool, String rack, int cpu, boolean enforces)
            throws IOException {
        Machine added = new Machine();
        added.mPool = pool;
        added.mRack = rack;
        added.mCpu = cpu;
        added.mEnforces = enforces;
        mMachines.put(machine, added);
        return startMinion(added);
    }

    private Minion startMinion(Machine machine) throws IOException {
        String id = "i-" + Long.toHexString(0xa000 + mNextMinion++);
        machine.mMinion =
                new Minion(
                        mRig, id, machine.mPool, machine.mRack, machine.mCpu, machine.mEnforces);
        machine.mState = "up";
        mRig.add(machine.mMinion);
        return machine.mMinion;
    }

    /** Returns the minion that runs on a machine now. */
    public synchronized Minion minion(String machine) {
        return mMachines.get(machine).mMinion;
    }

    /** Starts a minion anew under the id that it had. */
    public synchronized Minion restart(String machine) throws IOException {
        Machine restarted = mMachines.get(machine);
        restarted.mMinion =
                new Minion(
                        mRig,
                        restarted.mMinion.id(),
                        restarted.mPool,
                        restarted.mRack,
                        restarted.mCpu,
                        restarted.mEnforces);
        mRig.add(restarted.mMinion);
        mRig.record("minion " + restarted.mMinion.id() + " has started again");
        return restarted.mMinion;
    }

    private Http.Reply handle(Http.Request request) throws Exception {
        Rig.sleep(ANSWER_MILLIS);
        Http.Reply reply =
                switch (request.path()) {
                    case "/api/machines" -> list();
                    case "/api/machine-upkeep" -> upkeep(request);
                    case "/api/machine-move" -> move(request);
                    default -> Http.reply(404, Http.object());
                };
        if (mLost.test(request)) {
            mRig.record("the answer to " + request.path() + " " + request.body() + " is lost");
            return null;
        }
        return reply;
    }

    private synchronized Http.Reply list() {
        ObjectNode body = Http.object();
        ArrayNode rows = body.putArray("machines");
        for (Map.Entry<String, Machine> entry : mMachines.entrySet()) {
            Machine machine = entry.getValue();
            ObjectNode row = rows.addObject();
            row.put("machine", entry.getKey()).put("pool", machine.mPool);
            row.put("state", machine.mState).put("zone", "a");
            row.putArray("labels").add("a").add(machine.mRack);
            row.putObject("capacity")
                    .put("cpu", machine.mCpu)
                    .put("mem_mb", 65_536)
                    .put("gpu", 0);
            row.put("id", machine.mState.equals("up") ? machine.mMinion.id() : "");
        }
        body.putNull("next_token");
        return Http.reply(200, body);
    }

    private static Http.Reply refuse(String reason) {
        return Http.reply(409, Http.object().put("reason", reason));
    }

    private synchronized Http.Reply upkeep(Http.Request request) {
        String name = request.body().path("machine").asText();
        long wave = request.body().path("wave").asLong();
        Machine machine = mMachines.get(name);
        if (machine == null) {
            return Http.reply(400, Http.object());
        }
        if (!machine.mState.equals("up")) {
            return refuse("busy");
        }
        if (machine.mLastWave == wave) {
            mRig.record("upkeep of " + name + " is already done, answered with 200");
            return Http.reply(200, Http.object());
        }
        machine.mLastWave = wave;
        mRig.record("upkeep of " + name + " begins, minion " + machine.mMinion.id() + " ends");
        takeDown(machine, "upkeep", UPKEEP_MILLIS);
        return Http.reply(200, Http.object());
    }

    private synchronized Http.Reply move(Http.Request request) {
        String name = request.body().path("machine").asText();
        String pool = request.body().path("pool").asText();
        Machine machine = mMachines.get(name);
        if (machine == null) {
            return Http.reply(400, Http.object());
        }
        if (!machine.mState.equals("up")) {
            return refuse("busy");
        }
        if (!machine.mPool.equals(pool)) {
            mRig.record(
                    "move of " + name + " to " + pool + ", minion " + machine.mMinion.id() + " ends");
            machine.mPool = pool;
            takeDown(machine, "moving", MOVE_MILLIS);
        }
        return Http.reply(200, Http.object());
    }

    private void takeDown(Machine machine, String state, long millis) {
        machine.mState = state;
        machine.mMinion.kill();
        mRig.store().remove("servers/" + machine.mMinion.id());
        Thread back =
                new Thread(
                        () -> {
                            Rig.sleep(millis);
                            synchronized (this) {
                                try {
                                    startMinion(machine);
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                                mRig.record(
                                        "minion " + machine.mMinion.id() + " has joined "
                                                + machine.mPool);
                            }
                        });
        back.setDaemon(true);
        back.start();
    }
}
